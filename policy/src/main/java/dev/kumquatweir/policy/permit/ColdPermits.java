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
 * Allows work on cold upstreams as far as the leader has granted it. Each running request uses one
 * permit for one request and its prompt tokens. A permit is given back when its work ends, so that
 * instances with waiting work take turns in the leader's order. Not thread-safe: owned by the
 * dispatch duty.
 */
public final class ColdPermits implements ColdAllowance {
    /**
     * A permit is kept so long after its work: the cancel of broken-off work has to reach the
     * upstream before the work of another instance does.
     */
    static final long RELEASE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A claim is withdrawn when the work that needed it has gone elsewhere for so long. */
    static final long CLAIM_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** An upstream not used as a cold one for so long is warm or gone. */
    static final long UNUSED_UPSTREAM_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Permits mPermits;
    private final Map<UpstreamId, UpstreamClaims> mUpstreams = new HashMap<>();
    private long mClaimCount;

    /** Makes an allowance that holds nothing yet. */
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
        // Work begins on one idle permit, so that the others must not count for its tokens.
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

    /** Gives back what is not needed any more; call it often, at least each 100 ms. */
    public void tick(long nowNanos) {
        mUpstreams.values().forEach(upstream -> releaseUnneeded(upstream, nowNanos));
        mUpstreams
                .values()
                .removeIf(
                        upstream -> {
                            boolean unused =
                                    nowNanos - upstream.mLastUsedNanos >= UNUSED_UPSTREAM_NANOS;
                            if (unused) {
                                upstream.mClaims.forEach(claim -> mPermits.release(claim.mName));
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

    private void releaseUnneeded(UpstreamClaims upstream, long nowNanos) {
        for (Claim claim : List.copyOf(upstream.mClaims)) {
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
                upstream.mClaims.remove(claim);
            }
        }
    }

    /** Work that ran before the upstream became cold has no permit yet and asks for one now. */
    private void startRequest(UpstreamClaims upstream, ColdLimit held, long nowNanos) {
        Optional<Claim> idle = largestIdle(upstream, nowNanos);
        if (idle.isPresent() && mPermits.tryUse(idle.get().mName, nowNanos)) {
            idle.get().mState = ClaimState.RUNNING;
            return;
        }
        Claim claim = addClaim(upstream, held.prefillTokens() / held.requests(), nowNanos);
        claim.mState = ClaimState.RUNNING;
        mPermits.claimRunning(claim.mName, upstream.permitParts(claim));
    }

    /** Keeps a permit whose tokens are needed by the work that goes on. */
    private void endRequest(UpstreamClaims upstream, long pendingTokens, long nowNanos) {
        long runningTokens = upstream.running().mapToLong(claim -> claim.mTokens).sum();
        upstream.running()
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

    private void ensureClaim(UpstreamClaims upstream, long neededTokens, long nowNanos) {
        ColdLimit limit = upstream.mLimit;
        if (limit.requests() < 1 || neededTokens > limit.prefillTokens()) {
            // The leader could never grant it, and smaller work would wait behind it.
            return;
        }
        for (Claim claim : List.copyOf(upstream.mClaims)) {
            if (claim.mState == ClaimState.WANTED && claim.mTokens >= neededTokens) {
                claim.mUpdatedNanos = nowNanos;
                return;
            }
            if (claim.mState == ClaimState.WANTED && !mPermits.isValid(claim.mName, nowNanos)) {
                mPermits.release(claim.mName);
                upstream.mClaims.remove(claim);
            }
        }
        long share = limit.prefillTokens() / limit.requests();
        Claim claim = addClaim(upstream, Math.max(neededTokens, share), nowNanos);
        mPermits.claim(claim.mName, upstream.permitParts(claim));
    }

    private Claim addClaim(UpstreamClaims upstream, long tokens, long nowNanos) {
        String name = "cold:" + upstream.mId.value() + ":" + ++mClaimCount;
        Claim claim = new Claim(name, Math.max(1, tokens), nowNanos);
        upstream.mClaims.add(claim);
        return claim;
    }

    private Optional<Claim> largestIdle(UpstreamClaims upstream, long nowNanos) {
        return upstream.mClaims.stream()
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

    /** One permit, asked for or held. */
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
