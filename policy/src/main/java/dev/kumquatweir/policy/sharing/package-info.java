/** Shares of teams in the upstreams of a service while requests wait for lack of room. */
@NullMarked
package dev.kumquatweir.policy.sharing;

import org.jspecify.annotations.NullMarked;
