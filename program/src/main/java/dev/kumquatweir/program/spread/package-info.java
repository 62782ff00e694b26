/** Spreads what upstreams report from the instance that heard it to the others. */
@NullMarked
package dev.kumquatweir.program.spread;

import org.jspecify.annotations.NullMarked;
