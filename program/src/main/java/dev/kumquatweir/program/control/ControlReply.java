package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.state.ConfigurationChange;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.List;

/** The leader's answer to a {@link ControlRequest}. */
public sealed interface ControlReply {
    /**
     * A command was applied.
     *
     * @param result its result
     */
    record Applied(StateResult result) implements ControlReply {}

    /**
     * A configuration document.
     *
     * @param version its version, 0 if there is none
     * @param document the document in its stored form, empty if it is not kept any more
     * @param history the kept changes, oldest first
     */
    record Configuration(long version, Bytes document, List<ConfigurationChange> history)
            implements ControlReply {
        /** Copies the list, so that the record is immutable. */
        public Configuration {
            history = List.copyOf(history);
        }
    }

    /**
     * Whether a version is in force.
     *
     * @param inForce true if no instance serves under an earlier version any more
     * @param pendingInstances instances that have not acknowledged it
     * @param remainingMillis time until the last earlier lease has run out
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
     * @param image what was in force when it was read
     */
    record Routing(RoutingImage image) implements ControlReply {}

    /**
     * The members of the group.
     *
     * @param members the members
     * @param leader name of the leader
     * @param term present term
     * @param commitIndex last committed entry
     */
    record Members(List<Member> members, String leader, long term, long commitIndex)
            implements ControlReply {
        /** Copies the list, so that the record is immutable. */
        public Members {
            members = List.copyOf(members);
        }
    }

    /** Done. */
    record Done() implements ControlReply {}

    /**
     * Not done.
     *
     * @param failure why
     */
    record Failed(ControlFailure failure) implements ControlReply {}
}
