/** Replicated control state: Raft, its storage port, the state machine and configuration leases. */
@NullMarked
package dev.kumquatweir.agreement;

import org.jspecify.annotations.NullMarked;
