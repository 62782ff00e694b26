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
 * <p>Not thread-safe: owned by the duty that runs the agreement. Create a new ledger for each term
 * and call it only while the leader lease is held.
 */
public final class PermitLedger {
    /** Validity of a permit; the holder counts it from the time of its request. */
    public static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final long mGrantFromNanos;
    private final LoadRate mLoadRate;
    private final Map<PermitResource, ResourceAccount> mAccounts = new HashMap<>();
    private final Map<InstanceId, Holder> mHolders = new HashMap<>();
    private long mNextOrder;

    /**
     * Creates the ledger of a new leader, which grants nothing before one lease has passed.
     *
     * @param loadRate rate limit of the weight store; starts empty
     * @param nowNanos time of the leader's election
     */
    public PermitLedger(LoadRate loadRate, long nowNanos) {
        mLoadRate = loadRate;
        mGrantFromNanos = nowNanos + LEASE_NANOS;
    }

    /**
     * Sets the limit of a resource. Permits for an older incarnation are no longer renewed but
     * count against the new limit until they expire. A limit for an older incarnation is ignored.
     *
     * @param amount the limit, or {@link Long#MAX_VALUE} if the upstream no longer needs one
     */
    public void limit(PermitResource resource, long incarnation, long amount) {
        account(resource).limit(incarnation, amount);
    }

    /** Stops granting a resource, for example that of a removed upstream. */
    public void close(PermitResource resource) {
        ResourceAccount account = mAccounts.get(resource);
        if (account != null) {
            account.close();
            forgetIfUnused(resource, account);
        }
    }

    /**
     * Records how much of a resource the upstream itself reports as used. New claims are checked
     * against this amount for one lease if it exceeds the outstanding permits, for example because
     * an instance that cannot reach the leader is still running requests there.
     */
    public void observe(PermitResource resource, long amount, long nowNanos) {
        account(resource).observe(amount, nowNanos);
    }

    /** Processes a request and decides on each of its claims. */
    public PermitDecision renew(PermitRequest request, long nowNanos) {
        Holder holder = current(request);
        if (holder == null) {
            return new PermitDecision.Outdated();
        }
        holder.mSequence = request.sequence();
        holder.mHeardNanos = nowNanos;
        Set<String> listed = new HashSet<>();
        request.claims().forEach(claim -> listed.add(claim.name()));
        List<Claim> givenBack =
                holder.mClaims.values().stream()
                        .filter(claim -> !listed.contains(claim.mName))
                        .toList();
        givenBack.forEach(claim -> drop(holder, claim));
        boolean granting = nowNanos - mGrantFromNanos >= 0;
        Set<String> granted = new HashSet<>();
        for (PermitClaim asked : request.claims()) {
            if (decide(holder, asked, granting, nowNanos)) {
                granted.add(asked.name());
            }
        }
        if (!granting) {
            return new PermitDecision.NotYet(mGrantFromNanos);
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
    public void expire(long nowNanos) {
        List<InstanceId> silent =
                mHolders.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue().mHeardNanos > 2 * LEASE_NANOS)
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(instance -> dropAll(mHolders.remove(instance)));
    }

    /** Returns the total amount of a resource for which holders may have valid permits. */
    public long exposure(PermitResource resource, long nowNanos) {
        ResourceAccount account = mAccounts.get(resource);
        return account == null ? 0 : account.exposure(nowNanos);
    }

    /**
     * Returns the holder of a request, or null if the request is outdated. A new incarnation of a
     * holder removes the claims of the previous one.
     */
    private @Nullable Holder current(PermitRequest request) {
        Holder known = mHolders.get(request.holder());
        if (known != null && known.mIncarnation == request.holderIncarnation()) {
            return known.mSequence < request.sequence() ? known : null;
        }
        if (known != null && known.mIncarnation > request.holderIncarnation()) {
            return null;
        }
        dropAll(known);
        Holder fresh = new Holder(request.holderIncarnation());
        mHolders.put(request.holder(), fresh);
        return fresh;
    }

    private boolean decide(Holder holder, PermitClaim asked, boolean granting, long nowNanos) {
        Claim claim = holder.mClaims.get(asked.name());
        if (claim != null && !claim.mParts.equals(asked.parts())) {
            drop(holder, claim);
            claim = null;
        }
        if (claim == null) {
            claim = new Claim(asked, mNextOrder++, nowNanos);
            holder.mClaims.put(asked.name(), claim);
            for (PermitPart part : claim.mParts) {
                account(part.resource()).add(claim, part);
            }
        }
        claim.heard(asked, nowNanos);
        if (!granting || !fits(claim, nowNanos)) {
            claim.refuse();
            return false;
        }
        long loads = claim.amountOf(new PermitResource.WeightStoreLoads());
        if (loads > 0 && !claim.renewing(nowNanos) && !mLoadRate.withdraw(loads, nowNanos)) {
            claim.refuse();
            return false;
        }
        claim.grant(nowNanos + LEASE_NANOS);
        return true;
    }

    private boolean fits(Claim claim, long nowNanos) {
        for (PermitPart part : claim.mParts) {
            boolean rated = part.resource() instanceof PermitResource.WeightStoreLoads;
            if (!rated && !account(part.resource()).fits(claim, part, nowNanos)) {
                return false;
            }
        }
        return true;
    }

    private void dropAll(@Nullable Holder holder) {
        if (holder != null) {
            List.copyOf(holder.mClaims.values()).forEach(claim -> drop(holder, claim));
        }
    }

    private void drop(Holder holder, Claim claim) {
        holder.mClaims.remove(claim.mName);
        for (PermitPart part : claim.mParts) {
            ResourceAccount account = mAccounts.get(part.resource());
            if (account != null) {
                account.remove(claim);
                forgetIfUnused(part.resource(), account);
            }
        }
    }

    private void forgetIfUnused(PermitResource resource, ResourceAccount account) {
        if (account.unused()) {
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
        private long mHeardNanos;

        Holder(long incarnation) {
            mIncarnation = incarnation;
        }
    }

    /** A claim, with the time until which its holder may consider it granted. */
    static final class Claim {
        private final String mName;
        private final List<PermitPart> mParts;
        private final long mOrder;
        private long mHeardNanos;
        private long mExpiryNanos;
        private boolean mExposed;
        private boolean mInUse;
        private boolean mGranted;

        Claim(PermitClaim asked, long order, long nowNanos) {
            mName = asked.name();
            mParts = asked.parts();
            mOrder = order;
            mHeardNanos = nowNanos;
        }

        /**
         * Updates the claim from the holder's request. A permit that the holder does not hold at
         * the time of its request cannot become valid through an earlier grant, because a holder
         * accepts only the answer to its newest request.
         */
        void heard(PermitClaim asked, long nowNanos) {
            mHeardNanos = nowNanos;
            mInUse = asked.inUse();
            mGranted = mGranted && asked.held();
            mExposed = mExposed && asked.held();
        }

        void grant(long expiryNanos) {
            mGranted = true;
            mExposed = true;
            mExpiryNanos = expiryNanos;
        }

        void refuse() {
            mGranted = false;
        }

        boolean exposed(long nowNanos) {
            return mExposed && mExpiryNanos - nowNanos > 0;
        }

        /** Returns whether the claim was granted by the last decision and has not expired. */
        boolean renewing(long nowNanos) {
            return mGranted && exposed(nowNanos);
        }

        boolean waiting(long nowNanos) {
            return !renewing(nowNanos) && nowNanos - mHeardNanos < LEASE_NANOS;
        }

        boolean before(Claim other) {
            return mInUse == other.mInUse ? mOrder < other.mOrder : mInUse;
        }

        boolean inUse() {
            return mInUse;
        }

        long order() {
            return mOrder;
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
