/** Operations that a control instance offers to operators and upstreams. */
@NullMarked
package dev.kumquatweir.gateway.fleet;

import org.jspecify.annotations.NullMarked;
