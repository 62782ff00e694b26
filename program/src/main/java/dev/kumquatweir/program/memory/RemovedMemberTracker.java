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
 * Learns from the agreed membership which instances operators have removed: those that were members
 * and are not any more. Not thread-safe: owned by the memory duty.
 */
final class RemovedMemberTracker {
    private static final int TICKS_PER_QUERY = 10;
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ControlPlane mControl;
    private final Set<InstanceId> mKnownMembers;
    private final Consumer<Set<InstanceId>> mRemovalListener;
    private int mTicks;

    /**
     * @param voters instances that are members by the settings
     * @param removalListener told of the removed instances, on another thread
     */
    RemovedMemberTracker(
            ControlPlane control,
            Collection<InstanceId> voters,
            Consumer<Set<InstanceId>> removalListener) {
        mControl = control;
        mKnownMembers = new HashSet<>(voters);
        mRemovalListener = removalListener;
    }

    /** Asks the leader now and then; a failed question changes nothing. */
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
