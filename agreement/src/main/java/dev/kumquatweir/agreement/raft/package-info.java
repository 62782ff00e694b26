/**
 * The Raft consensus algorithm as a deterministic state machine without I/O, clock or threads:
 * leader election with pre-vote, log replication, snapshots, single-server membership changes,
 * leadership transfer and leader leases. {@link dev.kumquatweir.agreement.raft.RaftNode} is the
 * entry point.
 */
@NullMarked
package dev.kumquatweir.agreement.raft;

import org.jspecify.annotations.NullMarked;
