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
final class PeerBook {
    private static final EventLog LOG = EventLog.of(PeerBook.class);

    private final Consumer<Map<InstanceId, InetSocketAddress>> mConnections;
    private final int mPort;
    private List<InstanceId> mSeeds;
    private List<InstanceId> mOwn = List.of();
    private List<InstanceId> mHeard = List.of();
    private long mHeardIndex = -1;
    private List<InstanceId> mAll = List.of();

    /**
     * Makes a book of the seeds.
     *
     * @param connections keeps connections to the instances it is given
     * @param port port between instances
     */
    PeerBook(
            Consumer<Map<InstanceId, InetSocketAddress>> connections,
            int port,
            List<InstanceId> seeds) {
        mConnections = connections;
        mPort = port;
        mSeeds = List.copyOf(seeds);
        update();
    }

    /** Replaces the seeds. */
    synchronized void seeds(List<InstanceId> seeds) {
        mSeeds = List.copyOf(seeds);
        update();
    }

    /** Replaces the members that this instance's own replica knows. */
    synchronized void own(List<InstanceId> members) {
        mOwn = List.copyOf(members);
        update();
    }

    /**
     * Takes the members as another instance knows them. One that lags, such as a new member that
     * still catches up, knows an earlier membership and is ignored.
     *
     * @param index how far in the log that instance was when it learned of them
     */
    synchronized void heard(long index, List<InstanceId> members) {
        if (index >= mHeardIndex && !members.isEmpty()) {
            mHeardIndex = index;
            mHeard = List.copyOf(members);
            update();
        }
    }

    /** Returns all control instances that are known. */
    synchronized List<InstanceId> controlInstances() {
        return mAll;
    }

    private void update() {
        Set<InstanceId> all = new LinkedHashSet<>(mOwn);
        all.addAll(mHeard);
        all.addAll(mSeeds);
        List<InstanceId> next = all.stream().sorted().toList();
        if (next.equals(mAll)) {
            return;
        }
        mAll = next;
        LOG.info(
                "control_instances_known",
                "own",
                mOwn,
                "heard",
                mHeard,
                "index",
                mHeardIndex,
                "seeds",
                mSeeds);
        mConnections.accept(
                next.stream()
                        .collect(
                                Collectors.toMap(
                                        Function.identity(),
                                        each -> new InetSocketAddress(each.value(), mPort))));
    }
}
