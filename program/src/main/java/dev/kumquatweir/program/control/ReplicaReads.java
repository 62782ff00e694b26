package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.lease.ConfigurationLeaseTable;
import dev.kumquatweir.agreement.lease.RolloutStatus;
import dev.kumquatweir.agreement.raft.RaftNode;
import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Creates the replies of a replica to read requests. */
final class ReplicaReads {
    private ReplicaReads() {}

    /**
     * Returns a configuration document, which is empty if the version is not retained.
     *
     * @param version the requested version, 0 for the newest
     */
    static ControlReply configuration(StateMachine state, long version) {
        long requestedVersion = version == 0 ? state.configurationVersion() : version;
        Bytes document =
                requestedVersion == state.configurationVersion()
                        ? state.configurationDocument()
                        : state.configurationDocument(requestedVersion).orElse(Bytes.EMPTY);
        return new ControlReply.Configuration(requestedVersion, document, state.history());
    }

    /** Returns the members of the group with the replica's term and commit index. */
    static ControlReply members(RaftNode node) {
        return new ControlReply.Members(
                node.membership().members(), node.self().name(), node.term(), node.commitIndex());
    }

    /**
     * Returns whether a configuration version is in force on all instances.
     *
     * @param leader name of the known leader, empty if none is known
     */
    static ControlReply rollout(
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
