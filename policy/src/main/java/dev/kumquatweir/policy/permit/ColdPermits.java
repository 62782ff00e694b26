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
 * order in which the leader received their claims. Not thread-safe: owned by the dispatch event
 * loop.
 */
public final class ColdPermits implements ColdAllowance {
    /**
     * Delay between the end of a request and the release of its permit. The cancel of an aborted
     * request has to reach the upstream before a request of another instance does.
     */
    static final long RELEASE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Time after which an ungranted claim is withdrawn if no request has needed it. The request may
     * have been placed on another upstream.
     */
    static final long CLAIM_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** An upstream not used as a cold one for this time is assumed to be warm or removed. */
    static final long UNUSED_UPSTREAM_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Permits mPermits;
    private final Map<UpstreamId, UpstreamClaims> mUpstreams = new HashMap<>();
    private long mClaimCount;

    /** Creates an allowance without any permits. */
    public ColdPermits(Permits permits) {
        mPermits = permits;
    }

    @Override
    public ColdLimit granted(
            UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos) {
        UpstreamClaims claims = findOrCreate(upstream, incarnation, nowNanos);
        claims.mLimit = limit;
        int requests = 0;
        long tokens = 0;
        for (Claim claim : claims.mClaims) {
            if (claim.mState == ClaimState.RUNNING && mPermits.isValid(claim.mName, nowNanos)) {
                requests++;
                tokens += claim.mTokens;
            }
        }
        // A new request starts under a single idle permit, so the tokens of other idle permits
        // are not available to it.
        Optional<Claim> idle = largestIdle(claims, nowNanos);
        requests += idle.isPresent() ? 1 : 0;
        tokens += idle.map(claim -> claim.mTokens).orElse(0L);
        return new ColdLimit(
                Math.min(requests, limit.requests()), Math.min(tokens, limit.prefillTokens()));
    }

    @Override
    public ColdLimit retained(
            UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos) {
        UpstreamClaims claims = findOrCreate(upstream, incarnation, nowNanos);
        claims.mLimit = limit;
        long refused = claims.running().filter(claim -> mPermits.isRefused(claim.mName)).count();
        return new ColdLimit((int) (claims.running().count() - refused), Long.MAX_VALUE);
    }

    @Override
    public void reportUse(
            UpstreamId upstream,
            long incarnation,
            ColdLimit held,
            ColdLimit wanted,
            long nowNanos) {
        UpstreamClaims claims = findOrCreate(upstream, incarnation, nowNanos);
        long running = claims.running().count();
        for (long count = running; count < held.requests(); count++) {
            startRequest(claims, held, nowNanos);
        }
        for (long count = running; count > held.requests(); count--) {
            endRequest(claims, held.prefillTokens(), nowNanos);
        }
        if (wanted.requests() > 0) {
            ensureClaim(claims, wanted.prefillTokens(), nowNanos);
        }
    }

    /** Releases permits that are no longer needed. To be called at least every 100 ms. */
    public void tick(long nowNanos) {
        mUpstreams.values().forEach(claims -> releaseUnneeded(claims, nowNanos));
        mUpstreams
                .values()
                .removeIf(
                        claims -> {
                            boolean unused =
                                    nowNanos - claims.mLastUsedNanos >= UNUSED_UPSTREAM_NANOS;
                            if (unused) {
                                claims.mClaims.forEach(claim -> mPermits.release(claim.mName));
                            }
                            return unused;
                        });
    }

    private UpstreamClaims findOrCreate(UpstreamId id, long incarnation, long nowNanos) {
        UpstreamClaims claims = mUpstreams.get(id);
        if (claims == null || claims.mIncarnation != incarnation) {
            if (claims != null) {
                claims.mClaims.forEach(claim -> mPermits.release(claim.mName));
            }
            claims = new UpstreamClaims(id, incarnation);
            mUpstreams.put(id, claims);
        }
        claims.mLastUsedNanos = nowNanos;
        return claims;
    }

    private void releaseUnneeded(UpstreamClaims claims, long nowNanos) {
        for (Claim claim : List.copyOf(claims.mClaims)) {
            boolean expired =
                    switch (claim.mState) {
                        case RUNNING -> false;
                        case ENDED -> nowNanos - claim.mUpdatedNanos >= RELEASE_DELAY_NANOS;
                        case WANTED ->
                                !mPermits.isValid(claim.mName, nowNanos)
                                        && nowNanos - claim.mUpdatedNanos >= CLAIM_TIMEOUT_NANOS;
                    };
            if (expired) {
                mPermits.release(claim.mName);
            }
            if (expired || !mPermits.isClaimed(claim.mName)) {
                claims.mClaims.remove(claim);
            }
        }
    }

    /**
     * Assigns a permit to a request that has started. A request that was already running when the
     * upstream became cold has no permit yet and claims one here.
     */
    private void startRequest(UpstreamClaims claims, ColdLimit held, long nowNanos) {
        Optional<Claim> idle = largestIdle(claims, nowNanos);
        if (idle.isPresent() && mPermits.tryUse(idle.get().mName, nowNanos)) {
            idle.get().mState = ClaimState.RUNNING;
            return;
        }
        Claim claim = addClaim(claims, held.prefillTokens() / held.requests(), nowNanos);
        claim.mState = ClaimState.RUNNING;
        mPermits.claimRunning(claim.mName, claims.permitParts(claim));
    }

    /**
     * Marks one permit as no longer used, refused and expired ones first, unless the requests that
     * continue need its tokens.
     */
    private void endRequest(UpstreamClaims claims, long pendingTokens, long nowNanos) {
        long runningTokens = claims.running().mapToLong(claim -> claim.mTokens).sum();
        claims.running()
                .min(
                        Comparator.comparing((Claim claim) -> !mPermits.isRefused(claim.mName))
                                .thenComparing(claim -> mPermits.isValid(claim.mName, nowNanos))
                                .thenComparing(claim -> claim.mTokens))
                .filter(claim -> runningTokens - claim.mTokens >= pendingTokens)
                .ifPresent(
                        claim -> {
                            claim.mState = ClaimState.ENDED;
                            claim.mUpdatedNanos = nowNanos;
                        });
    }

    private void ensureClaim(UpstreamClaims claims, long neededTokens, long nowNanos) {
        ColdLimit limit = claims.mLimit;
        if (limit.requests() < 1 || neededTokens > limit.prefillTokens()) {
            // The leader could never grant such a claim, and smaller ones would queue behind it.
            return;
        }
        for (Claim claim : List.copyOf(claims.mClaims)) {
            if (claim.mState == ClaimState.WANTED && claim.mTokens >= neededTokens) {
                claim.mUpdatedNanos = nowNanos;
                return;
            }
            if (claim.mState == ClaimState.WANTED && !mPermits.isValid(claim.mName, nowNanos)) {
                mPermits.release(claim.mName);
                claims.mClaims.remove(claim);
            }
        }
        long share = limit.prefillTokens() / limit.requests();
        Claim claim = addClaim(claims, Math.max(neededTokens, share), nowNanos);
        mPermits.claim(claim.mName, claims.permitParts(claim));
    }

    private Claim addClaim(UpstreamClaims claims, long tokens, long nowNanos) {
        String name = "cold:" + claims.mId.value() + ":" + ++mClaimCount;
        Claim claim = new Claim(name, Math.max(1, tokens), nowNanos);
        claims.mClaims.add(claim);
        return claim;
    }

    private Optional<Claim> largestIdle(UpstreamClaims claims, long nowNanos) {
        return claims.mClaims.stream()
                .filter(
                        claim ->
                                claim.mState == ClaimState.WANTED
                                        && mPermits.isValid(claim.mName, nowNanos))
                .max(Comparator.comparingLong(claim -> claim.mTokens));
    }

    private enum ClaimState {
        WANTED,
        RUNNING,
        ENDED
    }

    /** One permit that this instance has claimed or holds. */
    private static final class Claim {
        private final String mName;
        private final long mTokens;
        private ClaimState mState = ClaimState.WANTED;
        private long mUpdatedNanos;

        Claim(String name, long tokens, long nowNanos) {
            mName = name;
            mTokens = tokens;
            mUpdatedNanos = nowNanos;
        }
    }

    /** The claims of this instance on one incarnation of an upstream, and its cold limit. */
    private static final class UpstreamClaims {
        private final UpstreamId mId;
        private final long mIncarnation;
        private final List<Claim> mClaims = new ArrayList<>();
        private ColdLimit mLimit = new ColdLimit(0, 0);
        private long mLastUsedNanos;

        UpstreamClaims(UpstreamId id, long incarnation) {
            mId = id;
            mIncarnation = incarnation;
        }

        Stream<Claim> running() {
            return mClaims.stream().filter(claim -> claim.mState == ClaimState.RUNNING);
        }

        List<PermitPart> permitParts(Claim claim) {
            return List.of(
                    new PermitPart(new PermitResource.ColdRequests(mId), mIncarnation, 1),
                    new PermitPart(
                            new PermitResource.ColdPrefill(mId), mIncarnation, claim.mTokens));
        }
    }
}
