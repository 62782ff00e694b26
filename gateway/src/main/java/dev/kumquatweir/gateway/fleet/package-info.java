/** What operators and upstreams ask of a control instance. */
@NullMarked
package dev.kumquatweir.gateway.fleet;

import org.jspecify.annotations.NullMarked;
