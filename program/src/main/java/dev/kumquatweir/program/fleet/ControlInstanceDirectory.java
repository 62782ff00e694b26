package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Directory of the known control instances: the configured seeds, the group members known to the
 * local replica, and the members reported by other instances. Keeps connections to all of them.
 * Thread-safe.
 */
final class ControlInstanceDirectory {
    private static final EventLog LOG = EventLog.of(ControlInstanceDirectory.class);

    private final Consumer<Map<InstanceId, InetSocketAddress>> mConnectionUpdater;
    private final int mPort;
    private List<InstanceId> mSeeds;
    private List<InstanceId> mLocalMembers = List.of();
    private List<InstanceId> mRemoteMembers = List.of();
    private long mRemoteMembersIndex = -1;
    private List<InstanceId> mControlInstances = List.of();

    /**
     * Creates a directory of the seeds.
     *
     * @param connectionUpdater replaces the addresses to which connections are kept
     * @param port port for connections between instances
     */
    ControlInstanceDirectory(
            Consumer<Map<InstanceId, InetSocketAddress>> connectionUpdater,
            int port,
            List<InstanceId> seeds) {
        mConnectionUpdater = connectionUpdater;
        mPort = port;
        mSeeds = List.copyOf(seeds);
        update();
    }

    /** Replaces the seeds. */
    synchronized void setSeeds(List<InstanceId> seeds) {
        mSeeds = List.copyOf(seeds);
        update();
    }

    /** Replaces the members known to the local replica. */
    synchronized void setLocalMembers(List<InstanceId> members) {
        mLocalMembers = List.copyOf(members);
        update();
    }

    /**
     * Updates the members reported by another instance. Ignores a report with a lower log index
     * than an earlier one: an instance that lags, such as a new member that is still catching up,
     * reports an outdated membership.
     *
     * @param logIndex commit index of that instance when it learned of the members
     */
    synchronized void updateRemoteMembers(long logIndex, List<InstanceId> members) {
        if (logIndex >= mRemoteMembersIndex && !members.isEmpty()) {
            mRemoteMembersIndex = logIndex;
            mRemoteMembers = List.copyOf(members);
            update();
        }
    }

    /** Returns all known control instances, sorted by id. */
    synchronized List<InstanceId> controlInstances() {
        return mControlInstances;
    }

    private void update() {
        Set<InstanceId> instances = new LinkedHashSet<>(mLocalMembers);
        instances.addAll(mRemoteMembers);
        instances.addAll(mSeeds);
        List<InstanceId> sortedInstances = instances.stream().sorted().toList();
        if (sortedInstances.equals(mControlInstances)) {
            return;
        }
        mControlInstances = sortedInstances;
        LOG.info(
                "control_instances_known",
                "own",
                mLocalMembers,
                "heard",
                mRemoteMembers,
                "index",
                mRemoteMembersIndex,
                "seeds",
                mSeeds);
        mConnectionUpdater.accept(
                sortedInstances.stream()
                        .collect(
                                Collectors.toMap(
                                        Function.identity(),
                                        instance ->
                                                new InetSocketAddress(instance.value(), mPort))));
    }
}
