/** Cost of the recovery and shared-limit policy. */
@NullMarked
package dev.kumquatweir.bench.recovery;

import org.jspecify.annotations.NullMarked;
