/** HTTP towards upstreams: their reports in, attempts out. */
@NullMarked
package dev.kumquatweir.gateway.upstream;

import org.jspecify.annotations.NullMarked;
