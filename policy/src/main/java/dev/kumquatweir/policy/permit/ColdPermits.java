package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.routing.ColdAllowance;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Limits requests on cold upstreams to the permits that the leader has granted to this instance.
 * Each running request holds one permit, which covers the request and its prompt tokens. The permit
 * is released when the request ends, so that instances with waiting requests get permits in the
 * order in which the leader received their claims. Not thread-safe: owned by the dispatch duty.
 */
public final class ColdPermits implements ColdAllowance {
    /**
     * Delay between the end of a request and the release of its permit. The cancel of an aborted
     * request has to reach the upstream before a request of another instance does.
     */
    static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Time after which an ungranted claim is withdrawn if no request has needed it. The request may
     * have been placed on another upstream.
     */
    static final long WANT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** An upstream not used as a cold one for this time is assumed to be warm or removed. */
    static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Permits mPermits;
    private final Map<UpstreamId, Upstream> mUpstreams = new HashMap<>();
    private long mNames;

    /** Creates an allowance without any permits. */
    public ColdPermits(Permits permits) {
        mPermits = permits;
    }

    @Override
    public ColdLimit granted(
            UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos) {
        Upstream known = find(upstream, incarnation, nowNanos);
        known.mLimit = limit;
        int requests = 0;
        long tokens = 0;
        for (Slot slot : known.mSlots) {
            if (slot.mUse == Use.RUNNING && mPermits.valid(slot.mName, nowNanos)) {
                requests++;
                tokens += slot.mTokens;
            }
        }
        // A new request starts under a single idle permit, so the tokens of other idle permits
        // are not available to it.
        Optional<Slot> idle = largestIdle(known, nowNanos);
        requests += idle.isPresent() ? 1 : 0;
        tokens += idle.map(slot -> slot.mTokens).orElse(0L);
        return new ColdLimit(
                Math.min(requests, limit.requests()), Math.min(tokens, limit.prefillTokens()));
    }

    @Override
    public ColdLimit retained(
            UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos) {
        Upstream known = find(upstream, incarnation, nowNanos);
        known.mLimit = limit;
        long refused = known.running().filter(slot -> mPermits.refused(slot.mName)).count();
        return new ColdLimit((int) (known.running().count() - refused), Long.MAX_VALUE);
    }

    @Override
    public void reportUse(
            UpstreamId upstream,
            long incarnation,
            ColdLimit held,
            ColdLimit wanted,
            long nowNanos) {
        Upstream known = find(upstream, incarnation, nowNanos);
        long running = known.running().count();
        for (long count = running; count < held.requests(); count++) {
            begin(known, held, nowNanos);
        }
        for (long count = running; count > held.requests(); count--) {
            end(known, held.prefillTokens(), nowNanos);
        }
        if (wanted.requests() > 0) {
            want(known, wanted.prefillTokens(), nowNanos);
        }
    }

    /** Releases permits that are no longer needed. To be called at least every 100 ms. */
    public void tick(long nowNanos) {
        mUpstreams.values().forEach(upstream -> sweep(upstream, nowNanos));
        mUpstreams
                .values()
                .removeIf(
                        upstream -> {
                            boolean over = nowNanos - upstream.mTouchedNanos >= FORGET_NANOS;
                            if (over) {
                                upstream.mSlots.forEach(slot -> mPermits.release(slot.mName));
                            }
                            return over;
                        });
    }

    private Upstream find(UpstreamId id, long incarnation, long nowNanos) {
        Upstream known = mUpstreams.get(id);
        if (known == null || known.mIncarnation != incarnation) {
            if (known != null) {
                known.mSlots.forEach(slot -> mPermits.release(slot.mName));
            }
            known = new Upstream(id, incarnation);
            mUpstreams.put(id, known);
        }
        known.mTouchedNanos = nowNanos;
        return known;
    }

    private void sweep(Upstream upstream, long nowNanos) {
        for (Slot slot : List.copyOf(upstream.mSlots)) {
            boolean over =
                    switch (slot.mUse) {
                        case RUNNING -> false;
                        case ENDED -> nowNanos - slot.mSinceNanos >= LINGER_NANOS;
                        case WANTED ->
                                !mPermits.valid(slot.mName, nowNanos)
                                        && nowNanos - slot.mSinceNanos >= WANT_NANOS;
                    };
            if (over) {
                mPermits.release(slot.mName);
            }
            if (over || !mPermits.known(slot.mName)) {
                upstream.mSlots.remove(slot);
            }
        }
    }

    /**
     * Assigns a permit to a request that has started. A request that was already running when the
     * upstream became cold has no permit yet and claims one here.
     */
    private void begin(Upstream upstream, ColdLimit held, long nowNanos) {
        Optional<Slot> idle = largestIdle(upstream, nowNanos);
        if (idle.isPresent() && mPermits.use(idle.get().mName, nowNanos)) {
            idle.get().mUse = Use.RUNNING;
            return;
        }
        Slot slot = add(upstream, held.prefillTokens() / held.requests(), nowNanos);
        slot.mUse = Use.RUNNING;
        mPermits.adopt(slot.mName, upstream.parts(slot));
    }

    /**
     * Marks one permit as no longer used, refused and expired ones first, unless the requests that
     * continue need its tokens.
     */
    private void end(Upstream upstream, long pendingTokens, long nowNanos) {
        long tokens = upstream.running().mapToLong(slot -> slot.mTokens).sum();
        upstream.running()
                .min(
                        Comparator.comparing((Slot slot) -> !mPermits.refused(slot.mName))
                                .thenComparing(slot -> mPermits.valid(slot.mName, nowNanos))
                                .thenComparing(slot -> slot.mTokens))
                .filter(slot -> tokens - slot.mTokens >= pendingTokens)
                .ifPresent(
                        slot -> {
                            slot.mUse = Use.ENDED;
                            slot.mSinceNanos = nowNanos;
                        });
    }

    private void want(Upstream upstream, long neededTokens, long nowNanos) {
        ColdLimit limit = upstream.mLimit;
        if (limit.requests() < 1 || neededTokens > limit.prefillTokens()) {
            // The leader could never grant such a claim, and smaller ones would queue behind it.
            return;
        }
        for (Slot slot : List.copyOf(upstream.mSlots)) {
            if (slot.mUse == Use.WANTED && slot.mTokens >= neededTokens) {
                slot.mSinceNanos = nowNanos;
                return;
            }
            if (slot.mUse == Use.WANTED && !mPermits.valid(slot.mName, nowNanos)) {
                mPermits.release(slot.mName);
                upstream.mSlots.remove(slot);
            }
        }
        long share = limit.prefillTokens() / limit.requests();
        Slot slot = add(upstream, Math.max(neededTokens, share), nowNanos);
        mPermits.want(slot.mName, upstream.parts(slot));
    }

    private Slot add(Upstream upstream, long tokens, long nowNanos) {
        String name = "cold:" + upstream.mId.value() + ":" + ++mNames;
        Slot slot = new Slot(name, Math.max(1, tokens), nowNanos);
        upstream.mSlots.add(slot);
        return slot;
    }

    private Optional<Slot> largestIdle(Upstream upstream, long nowNanos) {
        return upstream.mSlots.stream()
                .filter(slot -> slot.mUse == Use.WANTED && mPermits.valid(slot.mName, nowNanos))
                .max(Comparator.comparingLong(slot -> slot.mTokens));
    }

    private enum Use {
        WANTED,
        RUNNING,
        ENDED
    }

    /** One permit that this instance has claimed or holds. */
    private static final class Slot {
        private final String mName;
        private final long mTokens;
        private Use mUse = Use.WANTED;
        private long mSinceNanos;

        Slot(String name, long tokens, long nowNanos) {
            mName = name;
            mTokens = tokens;
            mSinceNanos = nowNanos;
        }
    }

    private static final class Upstream {
        private final UpstreamId mId;
        private final long mIncarnation;
        private final List<Slot> mSlots = new ArrayList<>();
        private ColdLimit mLimit = new ColdLimit(0, 0);
        private long mTouchedNanos;

        Upstream(UpstreamId id, long incarnation) {
            mId = id;
            mIncarnation = incarnation;
        }

        Stream<Slot> running() {
            return mSlots.stream().filter(slot -> slot.mUse == Use.RUNNING);
        }

        List<PermitPart> parts(Slot slot) {
            return List.of(
                    new PermitPart(new PermitResource.ColdRequests(mId), mIncarnation, 1),
                    new PermitPart(
                            new PermitResource.ColdPrefill(mId), mIncarnation, slot.mTokens));
        }
    }
}
