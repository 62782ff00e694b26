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
 * The leader's account of shared limits, in memory only. Each claim counts until its holder says
 * that it no longer holds it, or until the lease of the last grant has ended. A claim is granted
 * whole or not at all, and older waiting claims go first, so that claims on several resources
 * neither deadlock nor starve.
 *
 * <p>Not thread-safe: owned by the duty that runs the agreement. Make a new one for each term; call
 * it only under the leader lease.
 */
public final class PermitLedger {
    /** Time for which a permit is valid, counted by its holder from when it asked. */
    public static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final long mFirstGrantNanos;
    private final WeightLoadRateLimiter mLoadRateLimiter;
    private final Map<PermitResource, ResourceAccount> mAccounts = new HashMap<>();
    private final Map<InstanceId, Holder> mHolders = new HashMap<>();
    private long mNextArrivalOrder;

    /**
     * Starts the ledger of a new leader.
     *
     * @param loadRateLimiter limit of the weight store; starts empty
     * @param nowNanos when the leader was elected
     */
    public PermitLedger(WeightLoadRateLimiter loadRateLimiter, long nowNanos) {
        mLoadRateLimiter = loadRateLimiter;
        mFirstGrantNanos = nowNanos + LEASE_NANOS;
    }

    /**
     * Sets the limit of a resource. With a newer incarnation the permits of the old one are not
     * renewed any more; they count against the new limit until they have ended.
     *
     * @param amount the limit, or {@link Long#MAX_VALUE} once the upstream needs none any more
     */
    public void setLimit(PermitResource resource, long incarnation, long amount) {
        account(resource).setLimit(incarnation, amount);
    }

    /** Grants no more of a resource, for example of an upstream that is forgotten. */
    public void removeLimit(PermitResource resource) {
        ResourceAccount account = mAccounts.get(resource);
        if (account != null) {
            account.close();
            removeIfUnused(resource, account);
        }
    }

    /**
     * Takes what the upstream itself reports as used. Use that no permit explains, such as that of
     * an instance cut off from the leader, is left free for one lease.
     */
    public void recordReportedUse(PermitResource resource, long amount, long nowNanos) {
        account(resource).recordReportedUse(amount, nowNanos);
    }

    /** Takes a request and decides on each of its claims. */
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

    /** Forgets claims of holders that have not renewed for two leases; call it now and then. */
    public void removeExpiredHolders(long nowNanos) {
        List<InstanceId> silent =
                mHolders.entrySet().stream()
                        .filter(
                                entry ->
                                        nowNanos - entry.getValue().mLastRequestNanos
                                                > 2 * LEASE_NANOS)
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(instance -> removeClaims(mHolders.remove(instance)));
    }

    /** Returns how much of a resource valid permits may allow now. */
    public long outstandingAmount(PermitResource resource, long nowNanos) {
        ResourceAccount account = mAccounts.get(resource);
        return account == null ? 0 : account.outstandingAmount(nowNanos);
    }

    /** A new incarnation of a holder ends all that its dead predecessor held. */
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

    /** A claim with the time until which its holder may take it for valid. */
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
         * Takes the holder's word. What it does not hold when it asks can't become valid by an
         * earlier grant, since a holder takes only the answer to its newest request.
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

        /** Whether the claim was granted and its holder still renews it. */
        boolean isRenewing(long nowNanos) {
            return mGranted && isOutstanding(nowNanos);
        }

        boolean isWaiting(long nowNanos) {
            return !isRenewing(nowNanos) && nowNanos - mLastRequestNanos < LEASE_NANOS;
        }

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
