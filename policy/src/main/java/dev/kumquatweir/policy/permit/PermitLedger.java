package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The leader's account of the limits shared by all instances, kept in memory only. A granted claim
 * counts against its limits until its holder reports that it no longer holds the permit, or until
 * the lease of the last grant has expired. A claim is granted as a whole or not at all, and older
 * waiting claims take precedence, so that claims on several resources neither deadlock nor starve.
 *
 * <p>Not thread-safe: owned by the event loop that runs the agreement. Create a new ledger for each
 * term and call it only while the leader lease is held.
 */
public final class PermitLedger {
    /** Validity of a permit; the holder counts it from the time of its request. */
    public static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final long mFirstGrantNanos;
    private final WeightLoadRateLimiter mLoadRateLimiter;
    private final Map<PermitResource, ResourceAccount> mAccounts = new HashMap<>();
    private final Map<InstanceId, Holder> mHolders = new HashMap<>();
    private long mNextArrivalOrder;

    /**
     * Creates the ledger of a new leader, which grants nothing before one lease has passed.
     *
     * @param loadRateLimiter rate limit of the weight store; starts empty
     * @param nowNanos time of the leader's election
     */
    public PermitLedger(WeightLoadRateLimiter loadRateLimiter, long nowNanos) {
        mLoadRateLimiter = loadRateLimiter;
        mFirstGrantNanos = nowNanos + LEASE_NANOS;
    }

    /**
     * Sets the limit of a resource. Permits for an older incarnation are no longer renewed but
     * count against the new limit until they expire. A limit for an older incarnation is ignored.
     *
     * @param amount the limit, or {@link Long#MAX_VALUE} if the upstream no longer needs one
     */
    public void setLimit(PermitResource resource, long incarnation, long amount) {
        account(resource).setLimit(incarnation, amount);
    }

    /** Stops granting a resource, for example that of a removed upstream. */
    public void removeLimit(PermitResource resource) {
        ResourceAccount account = mAccounts.get(resource);
        if (account != null) {
            account.removeLimit();
            removeIfUnused(resource, account);
        }
    }

    /**
     * Records how much of a resource the upstream itself reports as used. New claims are checked
     * against this amount for one lease if it exceeds the outstanding permits, for example because
     * an instance that cannot reach the leader is still running requests there.
     */
    public void recordReportedUse(PermitResource resource, long amount, long nowNanos) {
        account(resource).recordReportedUse(amount, nowNanos);
    }

    /** Processes a request and decides on each of its claims. */
    public PermitDecision renew(PermitRequest request, long nowNanos) {
        Holder holder = currentHolder(request);
        if (holder == null) {
            return new PermitDecision.Outdated();
        }
        holder.mSequence = request.sequence();
        holder.mLastRequestNanos = nowNanos;
        Set<String> listed = new HashSet<>();
        request.claims().forEach(claim -> listed.add(claim.name()));
        List<Claim> released =
                holder.mClaims.values().stream()
                        .filter(claim -> !listed.contains(claim.mName))
                        .toList();
        released.forEach(claim -> removeClaim(holder, claim));
        boolean granting = nowNanos - mFirstGrantNanos >= 0;
        Set<String> granted = new HashSet<>();
        for (PermitClaim requested : request.claims()) {
            if (decide(holder, requested, granting, nowNanos)) {
                granted.add(requested.name());
            }
        }
        if (!granting) {
            return new PermitDecision.Deferred(mFirstGrantNanos);
        }
        return new PermitDecision.Answer(
                new PermitGrant(
                        request.holder(),
                        request.holderIncarnation(),
                        request.sequence(),
                        granted));
    }

    /**
     * Removes holders that have not sent a request for two leases, with their claims. To be called
     * periodically.
     */
    public void removeExpiredHolders(long nowNanos) {
        List<InstanceId> expired =
                mHolders.entrySet().stream()
                        .filter(
                                entry ->
                                        nowNanos - entry.getValue().mLastRequestNanos
                                                > 2 * LEASE_NANOS)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(instance -> removeClaims(mHolders.remove(instance)));
    }

    /** Returns the total amount of a resource for which holders may have valid permits. */
    public long outstandingAmount(PermitResource resource, long nowNanos) {
        ResourceAccount account = mAccounts.get(resource);
        return account == null ? 0 : account.outstandingAmount(nowNanos);
    }

    /**
     * Returns the holder of a request, or null if the request is outdated. A new incarnation of a
     * holder removes the claims of the previous one.
     */
    private @Nullable Holder currentHolder(PermitRequest request) {
        Holder existing = mHolders.get(request.holder());
        if (existing != null && existing.mIncarnation == request.holderIncarnation()) {
            return existing.mSequence < request.sequence() ? existing : null;
        }
        if (existing != null && existing.mIncarnation > request.holderIncarnation()) {
            return null;
        }
        removeClaims(existing);
        Holder created = new Holder(request.holderIncarnation());
        mHolders.put(request.holder(), created);
        return created;
    }

    private boolean decide(Holder holder, PermitClaim requested, boolean granting, long nowNanos) {
        Claim claim = holder.mClaims.get(requested.name());
        if (claim != null && !claim.mParts.equals(requested.parts())) {
            removeClaim(holder, claim);
            claim = null;
        }
        if (claim == null) {
            claim = new Claim(requested, mNextArrivalOrder++, nowNanos);
            holder.mClaims.put(requested.name(), claim);
            for (PermitPart part : claim.mParts) {
                account(part.resource()).add(claim, part);
            }
        }
        claim.update(requested, nowNanos);
        if (!granting || !fits(claim, nowNanos)) {
            claim.refuse();
            return false;
        }
        long loads = claim.amountOf(new PermitResource.WeightStoreLoads());
        if (loads > 0
                && !claim.isRenewing(nowNanos)
                && !mLoadRateLimiter.tryAcquire(loads, nowNanos)) {
            claim.refuse();
            return false;
        }
        claim.grant(nowNanos + LEASE_NANOS);
        return true;
    }

    private boolean fits(Claim claim, long nowNanos) {
        for (PermitPart part : claim.mParts) {
            boolean rateLimited = part.resource() instanceof PermitResource.WeightStoreLoads;
            if (!rateLimited && !account(part.resource()).fits(claim, part, nowNanos)) {
                return false;
            }
        }
        return true;
    }

    private void removeClaims(@Nullable Holder holder) {
        if (holder != null) {
            List.copyOf(holder.mClaims.values()).forEach(claim -> removeClaim(holder, claim));
        }
    }

    private void removeClaim(Holder holder, Claim claim) {
        holder.mClaims.remove(claim.mName);
        for (PermitPart part : claim.mParts) {
            ResourceAccount account = mAccounts.get(part.resource());
            if (account != null) {
                account.remove(claim);
                removeIfUnused(part.resource(), account);
            }
        }
    }

    private void removeIfUnused(PermitResource resource, ResourceAccount account) {
        if (account.isUnused()) {
            mAccounts.remove(resource);
        }
    }

    private ResourceAccount account(PermitResource resource) {
        return mAccounts.computeIfAbsent(resource, ResourceAccount::new);
    }

    private static final class Holder {
        private final long mIncarnation;
        private final Map<String, Claim> mClaims = new LinkedHashMap<>();
        private long mSequence = Long.MIN_VALUE;
        private long mLastRequestNanos;

        Holder(long incarnation) {
            mIncarnation = incarnation;
        }
    }

    /** A claim, with the time until which its holder may consider it granted. */
    static final class Claim {
        private final String mName;
        private final List<PermitPart> mParts;
        private final long mArrivalOrder;
        private long mLastRequestNanos;
        private long mExpiryNanos;
        private boolean mOutstanding;
        private boolean mInUse;
        private boolean mGranted;

        Claim(PermitClaim requested, long arrivalOrder, long nowNanos) {
            mName = requested.name();
            mParts = requested.parts();
            mArrivalOrder = arrivalOrder;
            mLastRequestNanos = nowNanos;
        }

        /**
         * Updates the claim from the holder's request. A permit that the holder does not hold at
         * the time of its request cannot become valid through an earlier grant, because a holder
         * accepts only the answer to its newest request.
         */
        void update(PermitClaim requested, long nowNanos) {
            mLastRequestNanos = nowNanos;
            mInUse = requested.inUse();
            mGranted = mGranted && requested.held();
            mOutstanding = mOutstanding && requested.held();
        }

        void grant(long expiryNanos) {
            mGranted = true;
            mOutstanding = true;
            mExpiryNanos = expiryNanos;
        }

        void refuse() {
            mGranted = false;
        }

        boolean isOutstanding(long nowNanos) {
            return mOutstanding && mExpiryNanos - nowNanos > 0;
        }

        /** Returns whether the claim was granted by the last decision and has not expired. */
        boolean isRenewing(long nowNanos) {
            return mGranted && isOutstanding(nowNanos);
        }

        boolean isWaiting(long nowNanos) {
            return !isRenewing(nowNanos) && nowNanos - mLastRequestNanos < LEASE_NANOS;
        }

        /** Work that is running precedes waiting claims; otherwise the order of arrival decides. */
        boolean precedes(Claim other) {
            return mInUse == other.mInUse ? mArrivalOrder < other.mArrivalOrder : mInUse;
        }

        boolean inUse() {
            return mInUse;
        }

        long arrivalOrder() {
            return mArrivalOrder;
        }

        long amountOf(PermitResource resource) {
            for (PermitPart part : mParts) {
                if (part.resource().equals(resource)) {
                    return part.amount();
                }
            }
            return 0;
        }
    }
}
