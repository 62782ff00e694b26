/** Routing: chooses the upstream for a request from delayed and incomplete load information. */
@NullMarked
package dev.kumquatweir.policy.routing;

import org.jspecify.annotations.NullMarked;
