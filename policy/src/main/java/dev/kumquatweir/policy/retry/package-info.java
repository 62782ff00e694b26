/** Retries, hedges, silent connections and the assembly of resumed streams. */
@NullMarked
package dev.kumquatweir.policy.retry;

import org.jspecify.annotations.NullMarked;
