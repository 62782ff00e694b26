/**
 * Limits shared by all instances. The leader grants leased permits from its ledger; each instance
 * claims, renews and releases its own.
 */
@NullMarked
package dev.kumquatweir.policy.permit;

import org.jspecify.annotations.NullMarked;
