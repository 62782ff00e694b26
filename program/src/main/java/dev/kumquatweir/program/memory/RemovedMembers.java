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
final class RemovedMembers {
    private static final int TICKS_BETWEEN = 10;
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ControlPlane mControl;
    private final Set<InstanceId> mOnceMembers;
    private final Consumer<Set<InstanceId>> mRemoved;
    private int mTicks;

    /**
     * @param voters instances that are members by the settings
     * @param removed told of the removed instances, on another thread
     */
    RemovedMembers(
            ControlPlane control,
            Collection<InstanceId> voters,
            Consumer<Set<InstanceId>> removed) {
        mControl = control;
        mOnceMembers = new HashSet<>(voters);
        mRemoved = removed;
    }

    /** Asks the leader now and then; a failed question changes nothing. */
    void tick() {
        if (mTicks++ % TICKS_BETWEEN == 0) {
            mControl.submit(new ControlRequest.ReadMembers(), LIMIT_NANOS)
                    .thenAccept(
                            reply -> {
                                if (reply instanceof ControlReply.Members members) {
                                    take(members);
                                }
                            });
        }
    }

    private synchronized void take(ControlReply.Members reply) {
        Set<InstanceId> members =
                reply.members().stream()
                        .map(member -> new InstanceId(member.id().name()))
                        .collect(Collectors.toSet());
        mOnceMembers.addAll(members);
        Set<InstanceId> removed = new HashSet<>(mOnceMembers);
        removed.removeAll(members);
        mRemoved.accept(removed);
    }
}
