package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Announcements of the upstreams that were heard of lately. They are kept longer than the policy
 * keeps the upstream, so that attempts can be cancelled there. Not thread-safe.
 */
final class KnownUpstreams {
    private static final EventLog LOG = EventLog.of(KnownUpstreams.class);
    private static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final Map<UpstreamId, Announcement> mAnnouncements = new HashMap<>();
    private final Map<UpstreamId, Long> mHeardNanos = new HashMap<>();

    /** Keeps an announcement and returns whether it is the first one of a start. */
    boolean put(Announcement announcement, long nowNanos) {
        mHeardNanos.put(announcement.id(), nowNanos);
        Announcement known = mAnnouncements.put(announcement.id(), announcement);
        if (known != null && known.incarnation() == announcement.incarnation()) {
            return false;
        }
        LOG.info(
                "upstream_announced",
                "upstream",
                announcement.id(),
                "incarnation",
                announcement.incarnation(),
                "domain",
                announcement.domain(),
                "service",
                announcement.service());
        return true;
    }

    /** Notes a sign of life; nothing changes if the upstream is not known. */
    void heard(UpstreamId upstream, long nowNanos) {
        mHeardNanos.replace(upstream, nowNanos);
    }

    @Nullable Announcement get(UpstreamId upstream) {
        return mAnnouncements.get(upstream);
    }

    Optional<Announcement> find(UpstreamId upstream) {
        return Optional.ofNullable(mAnnouncements.get(upstream));
    }

    boolean containsAll(Collection<UpstreamId> upstreams) {
        return mAnnouncements.keySet().containsAll(upstreams);
    }

    List<Announcement> all() {
        return List.copyOf(mAnnouncements.values());
    }

    void forgetSilent(long nowNanos) {
        mHeardNanos.values().removeIf(heard -> nowNanos - heard > FORGET_NANOS);
        mAnnouncements.keySet().retainAll(mHeardNanos.keySet());
    }
}
