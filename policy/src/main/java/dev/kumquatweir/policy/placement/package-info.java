/**
 * Request placement: chooses an upstream for each request, and decides which requests wait for
 * capacity and which are rejected.
 */
@NullMarked
package dev.kumquatweir.policy.placement;

import org.jspecify.annotations.NullMarked;
