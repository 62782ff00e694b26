package dev.kumquatweir.transport;

import dev.kumquatweir.core.identity.InstanceId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The links to the members, replaced as a whole when the member list changes. Readable from any
 * thread; {@link #update} calls exclude each other.
 */
final class LinkTable {
    private static final long REPEATED_LOG_NANOS = 60_000_000_000L;

    private final InstanceId mSelf;
    private final IoResources mResources;
    private volatile Map<InstanceId, Link> mLinks = Map.of();

    LinkTable(InstanceId self, IoResources resources) {
        mSelf = self;
        mResources = resources;
    }

    @Nullable Link get(InstanceId peer) {
        return mLinks.get(peer);
    }

    Iterable<Link> all() {
        return mLinks.values();
    }

    boolean contains(String instance) {
        return mLinks.keySet().stream().anyMatch(peer -> peer.value().equals(instance));
    }

    /**
     * Takes a new member list; this instance's own entry is left out.
     *
     * @return the links that are no longer in use, since the peer left or has another address
     */
    synchronized List<Link> update(Map<InstanceId, InetSocketAddress> peers) {
        Map<InstanceId, Link> previous = mLinks;
        Map<InstanceId, Link> next = new HashMap<>();
        peers.forEach(
                (peer, address) -> {
                    if (!peer.equals(mSelf)) {
                        Link link = previous.get(peer);
                        boolean keep = link != null && link.address().equals(address);
                        next.put(peer, keep ? link : newLink(peer, address));
                    }
                });
        List<Link> unused = new ArrayList<>(previous.values());
        unused.removeAll(next.values());
        mLinks = Map.copyOf(next);
        return unused;
    }

    private Link newLink(InstanceId peer, InetSocketAddress address) {
        PeerLimits limits = mResources.limits();
        long seed = 31L * mSelf.hashCode() + peer.hashCode();
        Backoff backoff =
                new Backoff(
                        limits.firstBackoffNanos(),
                        limits.backoffLimitNanos(),
                        seed,
                        mResources.nowNanos());
        return new Link(peer, address, backoff, new LogLimiter(REPEATED_LOG_NANOS));
    }
}
