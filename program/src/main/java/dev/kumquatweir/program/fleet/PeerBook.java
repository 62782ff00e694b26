package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.transport.PeerNetwork;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The control instances that are known: the seeds of the settings and the members of the group.
 * Keeps connections to all of them. Thread-safe.
 */
final class PeerBook {
    private static final EventLog LOG = EventLog.of(PeerBook.class);

    private final PeerNetwork mNetwork;
    private final int mPort;
    private List<InstanceId> mSeeds;
    private List<InstanceId> mMembers = List.of();
    private long mTerm;
    private List<InstanceId> mAll = List.of();

    PeerBook(PeerNetwork network, int port, List<InstanceId> seeds) {
        mNetwork = network;
        mPort = port;
        mSeeds = List.copyOf(seeds);
        update();
    }

    /** Replaces the seeds. */
    synchronized void seeds(List<InstanceId> seeds) {
        mSeeds = List.copyOf(seeds);
        update();
    }

    /**
     * Takes the members as an instance of a term knows them; those of earlier terms are ignored.
     */
    synchronized void heard(long term, List<InstanceId> members) {
        if (term >= mTerm && !members.isEmpty() && !members.equals(mMembers)) {
            mTerm = term;
            mMembers = List.copyOf(members);
            update();
        }
    }

    /** Returns all control instances that are known. */
    synchronized List<InstanceId> controlInstances() {
        return mAll;
    }

    private void update() {
        Set<InstanceId> all = new LinkedHashSet<>(mMembers);
        all.addAll(mSeeds);
        List<InstanceId> next = List.copyOf(all);
        if (next.equals(mAll)) {
            return;
        }
        mAll = next;
        LOG.info("control_instances_known", "members", mMembers, "seeds", mSeeds, "term", mTerm);
        Map<InstanceId, InetSocketAddress> addresses =
                next.stream()
                        .collect(
                                Collectors.toMap(
                                        Function.identity(),
                                        each -> new InetSocketAddress(each.value(), mPort)));
        mNetwork.peers(addresses);
    }
}
