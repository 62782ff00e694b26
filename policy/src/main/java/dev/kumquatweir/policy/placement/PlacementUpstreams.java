package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** The upstreams of a scheduler, and which of them may get work. Not thread-safe. */
final class PlacementUpstreams {
    /** Five heartbeats; some control instance hears one unless the upstream is lost or cut off. */
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** An instance without a leader hears no heartbeats and goes on with what it knew. */
    private static final long SILENCE_ALONE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long SHORTEST_RETRY_MILLIS = 250;

    /** Callers come back after a third of the time they have left at the latest. */
    private static final long LONGEST_RETRY_MILLIS = 3_300;

    /** While every place is taken, a rejected caller that comes back at once is rejected again. */
    private static final long SATURATED_RETRY_MILLIS = 1_000;

    private static final int SPREAD_FACTOR = 0x9E3779B9;

    private final Map<UpstreamId, PlacementUpstream> mUpstreams = new LinkedHashMap<>();
    private Set<FailureDomain> mDomainsOut = Set.of();
    private int mInstances = 1;
    private boolean mAlone;
    private int mSeed;

    void domainsOut(Set<FailureDomain> domainsOut) {
        mDomainsOut = Set.copyOf(domainsOut);
    }

    /**
     * Sets that several instances place work without knowing of each other.
     *
     * @param seed differs between instances, so that they don't all choose the same upstreams
     */
    void alone(int instances, int seed) {
        mAlone = true;
        mInstances = instances;
        mSeed = seed;
        mUpstreams.values().forEach(this::prefer);
    }

    private void prefer(PlacementUpstream upstream) {
        if (mAlone) {
            upstream.alone(mInstances, spread(upstream.notice().id().hashCode() ^ mSeed));
        }
    }

    /** Returns a number from 0 to 1 that differs between similar values. */
    private static double spread(int value) {
        int mixed = value * SPREAD_FACTOR;
        mixed = (mixed ^ (mixed >>> 15)) * SPREAD_FACTOR;
        return Math.floorMod(mixed ^ (mixed >>> 13), 1000) / 1000.0;
    }

    void heard(UpstreamStatus notice, long heardNanos) {
        PlacementUpstream known = mUpstreams.get(notice.id());
        if (known == null) {
            PlacementUpstream upstream = new PlacementUpstream(notice, heardNanos);
            prefer(upstream);
            mUpstreams.put(notice.id(), upstream);
        } else {
            known.heard(notice, heardNanos);
        }
    }

    void forgetSilent(long nowNanos) {
        mUpstreams
                .values()
                .removeIf(
                        upstream ->
                                upstream.silentNanos(nowNanos) > FORGET_NANOS && upstream.idle());
    }

    @Nullable PlacementUpstream find(UpstreamId id) {
        return mUpstreams.get(id);
    }

    /** Returns the upstreams of a service that take work by their own word and the operators'. */
    List<PlacementUpstream> working(ServiceName service, long nowNanos) {
        long silence = mAlone ? SILENCE_ALONE_NANOS : SILENCE_NANOS;
        return mUpstreams.values().stream()
                .filter(upstream -> upstream.notice().service().equals(service))
                .filter(upstream -> upstream.takesWork(mDomainsOut, silence, nowNanos))
                .toList();
    }

    /** Returns what a look at the waiting requests of a service needs. */
    ServiceLook look(RoutedService service, long nowNanos) {
        List<PlacementUpstream> working = working(service.name(), nowNanos);
        List<PlacementUpstream> open =
                working.stream().filter(upstream -> mayStart(upstream, service, nowNanos)).toList();
        return new ServiceLook(service, working, open);
    }

    /**
     * Returns whether an upstream may get a request now as far as limits on starts go. An instance
     * that places alone uses its share of the limit, but one start a second at least: with many
     * instances a share is below that, and none of them would start anything.
     */
    boolean mayStart(PlacementUpstream upstream, RoutedService service, long nowNanos) {
        if (mAlone && upstream.cold(nowNanos)) {
            return false;
        }
        double share = service.coldRequestsPerSecond() / mInstances;
        boolean limited = service.coldRequestsPerSecond() > 0;
        double starts = mAlone ? Math.max(1, share) : share;
        return !limited || upstream.starts().allows(starts, nowNanos);
    }

    /** Spreads the return of a rejected caller over the time in which places become free. */
    long retryAfterMillis(PlacementRequest request, long nowNanos) {
        List<PlacementUpstream> working = working(request.service(), nowNanos);
        boolean saturated =
                working.stream().noneMatch(each -> each.answering() < each.notice().slots());
        double backlog =
                working.stream()
                        .mapToDouble(each -> each.unreadMillis(nowNanos))
                        .average()
                        .orElse(SHORTEST_RETRY_MILLIS);
        double least = saturated ? SATURATED_RETRY_MILLIS : SHORTEST_RETRY_MILLIS + backlog;
        double spread = spread(request.key().hashCode());
        double most = saturated ? LONGEST_RETRY_MILLIS : least + backlog + 500;
        return Math.min(LONGEST_RETRY_MILLIS, (long) (least + spread * (most - least)));
    }
}
