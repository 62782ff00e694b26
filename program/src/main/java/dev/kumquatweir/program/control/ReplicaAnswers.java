package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.lease.ConfigurationLeaseTable;
import dev.kumquatweir.agreement.lease.RolloutStatus;
import dev.kumquatweir.agreement.raft.RaftNode;
import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Answers of a replica to requests that read. Holds no state. */
final class ReplicaAnswers {
    private ReplicaAnswers() {}

    /**
     * Returns a configuration document; it is empty if the version is not kept.
     *
     * @param version the version wanted, 0 for the newest
     */
    static ControlReply configuration(StateMachine state, long version) {
        long wanted = version == 0 ? state.configurationVersion() : version;
        Bytes document =
                wanted == state.configurationVersion()
                        ? state.configurationDocument()
                        : state.configurationDocument(wanted).orElse(Bytes.EMPTY);
        return new ControlReply.Configuration(wanted, document, state.history());
    }

    /** Returns the members of the group and how far the replica is. */
    static ControlReply members(RaftNode node) {
        return new ControlReply.Members(
                node.membership().members(), node.self().name(), node.term(), node.commitIndex());
    }

    /**
     * Returns whether a version is in force everywhere.
     *
     * @param leader name of the known leader, empty if none is known
     */
    static ControlReply force(
            ConfigurationLeaseTable leases, long version, String leader, long nowNanos) {
        return switch (leases.status(version, nowNanos)) {
            case RolloutStatus.InForce _ -> new ControlReply.Rollout(true, List.of(), 0);
            case RolloutStatus.Waiting waiting ->
                    new ControlReply.Rollout(
                            false,
                            waiting.instances().stream().map(InstanceId::value).toList(),
                            TimeUnit.NANOSECONDS.toMillis(waiting.untilNanos() - nowNanos));
            case RolloutStatus.NotLeading _ ->
                    new ControlReply.Failed(new ControlFailure.NotLeader(leader));
        };
    }
}
