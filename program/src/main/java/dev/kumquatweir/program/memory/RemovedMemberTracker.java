package dev.kumquatweir.program.memory;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.control.ControlReply;
import dev.kumquatweir.program.control.ControlRequest;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Tracks which instances operators have removed: those that were members once and are not in the
 * replicated membership any more. {@link #tick} is called by the event loop of memory
 * reconciliation only; replies of the leader may arrive on other threads and are applied under the
 * lock of this object.
 */
final class RemovedMemberTracker {
    private static final int TICKS_PER_QUERY = 10;
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ControlPlane mControl;
    private final Set<InstanceId> mKnownMembers;
    private final Consumer<Set<InstanceId>> mRemovalListener;
    private int mTicks;

    /**
     * @param voters instances that are members according to the settings
     * @param removalListener receives the removed instances, on the thread that delivers the reply
     */
    RemovedMemberTracker(
            ControlPlane control,
            Collection<InstanceId> voters,
            Consumer<Set<InstanceId>> removalListener) {
        mControl = control;
        mKnownMembers = new HashSet<>(voters);
        mRemovalListener = removalListener;
    }

    /** Queries the members from the leader on every tenth call. A failed query changes nothing. */
    void tick() {
        if (mTicks++ % TICKS_PER_QUERY == 0) {
            mControl.submit(new ControlRequest.ReadMembers(), REQUEST_TIMEOUT_NANOS)
                    .thenAccept(
                            reply -> {
                                if (reply instanceof ControlReply.Members members) {
                                    updateMembers(members);
                                }
                            });
        }
    }

    private synchronized void updateMembers(ControlReply.Members reply) {
        Set<InstanceId> members =
                reply.members().stream()
                        .map(member -> new InstanceId(member.id().name()))
                        .collect(Collectors.toSet());
        mKnownMembers.addAll(members);
        Set<InstanceId> removed = new HashSet<>(mKnownMembers);
        removed.removeAll(members);
        mRemovalListener.accept(removed);
    }
}
