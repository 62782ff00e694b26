package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.permit.UpstreamObservations;
import java.util.function.Consumer;

/**
 * What the replica's duty calls. None of them may block.
 *
 * @param clocks clocks of the process
 * @param sender sends a message to another replica; it may be lost
 * @param onMembershipChange told when the members of the group have changed
 * @param onFatal ends the process: the store or the replica can't go on safely
 * @param observations what this instance heard of upstreams, for the limits of permits
 * @param onRoutingChange told when the routing document or the failure domains out of service
 *     change
 * @param voterTarget voters that the leader keeps the group at by itself; 0 if operators do
 */
record ReplicaPorts(
        Clocks clocks,
        Consumer<RaftMessage> sender,
        Consumer<Membership> onMembershipChange,
        Runnable onFatal,
        UpstreamObservations observations,
        Consumer<RoutingImage> onRoutingChange,
        int voterTarget) {}
