/** Decides which upstream gets a request, which requests wait, and which are rejected. */
@NullMarked
package dev.kumquatweir.policy.placement;

import org.jspecify.annotations.NullMarked;
