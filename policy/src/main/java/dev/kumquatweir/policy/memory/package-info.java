/** Accounting of engine memory: reservations, and reconciliation of orphaned memory. */
@NullMarked
package dev.kumquatweir.policy.memory;

import org.jspecify.annotations.NullMarked;
