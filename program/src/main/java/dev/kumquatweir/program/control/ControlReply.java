package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.state.ConfigurationChange;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.List;

/** Reply of the leader to a {@link ControlRequest}. */
public sealed interface ControlReply {
    /**
     * A command was applied.
     *
     * @param result result of the command
     */
    record Applied(StateResult result) implements ControlReply {}

    /**
     * A configuration document.
     *
     * @param version its version, 0 if there is none
     * @param document the document in its stored form, empty if it is no longer retained
     * @param history the retained changes, oldest first
     */
    record Configuration(long version, Bytes document, List<ConfigurationChange> history)
            implements ControlReply {
        /** Copies the list, so that the record is immutable. */
        public Configuration {
            history = List.copyOf(history);
        }
    }

    /**
     * Whether a configuration version is in force on all instances.
     *
     * @param inForce true if no instance uses an earlier version
     * @param pendingInstances instances that have not acknowledged it
     * @param remainingMillis time until the last lease on an earlier version expires
     */
    record Rollout(boolean inForce, List<String> pendingInstances, long remainingMillis)
            implements ControlReply {
        /** Copies the list, so that the record is immutable. */
        public Rollout {
            pendingInstances = List.copyOf(pendingInstances);
        }
    }

    /**
     * The routing document in force and the failure domains out of service.
     *
     * @param image routing state at the time of the read
     */
    record Routing(RoutingImage image) implements ControlReply {}

    /**
     * The members of the group.
     *
     * @param members the members
     * @param leader name of the leader
     * @param term current term
     * @param commitIndex index of the last committed log entry
     */
    record Members(List<Member> members, String leader, long term, long commitIndex)
            implements ControlReply {
        /** Copies the list, so that the record is immutable. */
        public Members {
            members = List.copyOf(members);
        }
    }

    /** The request was completed and has no result. */
    record Done() implements ControlReply {}

    /**
     * The request failed.
     *
     * @param failure reason of the failure
     */
    record Failed(ControlFailure failure) implements ControlReply {}
}
