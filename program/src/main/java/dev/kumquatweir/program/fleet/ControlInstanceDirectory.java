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
 * The control instances that are known: the seeds of the settings, the members that this instance's
 * own replica knows, and those that others told of. Thread-safe.
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
     * Makes a book of the seeds.
     *
     * @param connectionUpdater keeps connections to the instances it is given
     * @param port port between instances
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

    /** Replaces the members that this instance's own replica knows. */
    synchronized void setLocalMembers(List<InstanceId> members) {
        mLocalMembers = List.copyOf(members);
        update();
    }

    /**
     * Takes the members as another instance knows them. One that lags, such as a new member that
     * still catches up, knows an earlier membership and is ignored.
     *
     * @param logIndex how far in the log that instance was when it learned of them
     */
    synchronized void updateRemoteMembers(long logIndex, List<InstanceId> members) {
        if (logIndex >= mRemoteMembersIndex && !members.isEmpty()) {
            mRemoteMembersIndex = logIndex;
            mRemoteMembers = List.copyOf(members);
            update();
        }
    }

    /** Returns all control instances that are known. */
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
