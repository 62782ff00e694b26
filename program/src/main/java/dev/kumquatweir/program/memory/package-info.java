/** Joins memory reconciliation to the other instances, the metrics and the agreed members. */
@NullMarked
package dev.kumquatweir.program.memory;

import org.jspecify.annotations.NullMarked;
