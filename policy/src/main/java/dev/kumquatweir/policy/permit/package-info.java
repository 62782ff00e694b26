/** Limits that all instances share: the leader's ledger and each instance's permits. */
@NullMarked
package dev.kumquatweir.policy.permit;

import org.jspecify.annotations.NullMarked;
