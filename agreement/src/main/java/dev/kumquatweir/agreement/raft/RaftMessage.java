package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.MemberId;

/**
 * A message between two replicas. Immutable.
 *
 * @param clusterId id of the group
 * @param from identity of the sender, with its store id
 * @param to identity of the receiver; a replica with another store id drops the message
 * @param term the sender's term
 * @param body content of the message
 */
public record RaftMessage(
        String clusterId, MemberId from, MemberId to, long term, MessageBody body) {}
