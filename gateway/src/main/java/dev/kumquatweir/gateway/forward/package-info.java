/** Forwards requests of routes unchanged to upstreams, and their answers back. */
@NullMarked
package dev.kumquatweir.gateway.forward;

import org.jspecify.annotations.NullMarked;
