package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.permit.UpstreamObservations;
import java.util.function.Consumer;

/**
 * Dependencies and callbacks of {@link ReplicaEventLoop}. None of them may block.
 *
 * @param clocks clocks of the process
 * @param sender sends a message to another replica, without a delivery guarantee
 * @param onMembershipChange called when the members of the group have changed
 * @param onFatal ends the process when the store or the replica can't continue safely
 * @param observations this instance's observations of upstreams, used for permit limits
 * @param onRoutingChange called when the routing document or the failure domains out of service
 *     change
 * @param voterTarget number of voters that the leader maintains automatically; 0 if operators
 *     change the membership
 */
record ReplicaPorts(
        Clocks clocks,
        Consumer<RaftMessage> sender,
        Consumer<Membership> onMembershipChange,
        Runnable onFatal,
        UpstreamObservations observations,
        Consumer<RoutingImage> onRoutingChange,
        int voterTarget) {}
