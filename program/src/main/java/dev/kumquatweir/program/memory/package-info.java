/**
 * Connects memory reconciliation with the other instances, the metrics and the replicated
 * membership.
 */
@NullMarked
package dev.kumquatweir.program.memory;

import org.jspecify.annotations.NullMarked;
