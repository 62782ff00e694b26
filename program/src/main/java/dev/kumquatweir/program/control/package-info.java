/**
 * Connects an instance to the replicated control state: bootstrap of the Raft group, the replica's
 * event loop, and the clients that reach the leader.
 */
@NullMarked
package dev.kumquatweir.program.control;

import org.jspecify.annotations.NullMarked;
