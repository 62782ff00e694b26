/** The Raft algorithm as a deterministic state machine without I/O, clock or threads. */
@NullMarked
package dev.kumquatweir.agreement.raft;

import org.jspecify.annotations.NullMarked;
