package dev.kumquatweir.policy.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One instance's account of the memory of engines. What this instance runs is reserved before it is
 * sent; what others run is known from the engines' listings. Reconciliation finds what no instance
 * owns any more. Not thread-safe: owned by the dispatch duty.
 */
public final class MemoryLedger {
    private static final long NEVER = Long.MAX_VALUE;

    private final InstanceId mInstance;
    private final long mIncarnation;
    private final InstanceDirectory mDirectory;
    private final long mGraceNanos;
    private long mMaximumRequestNanos;
    private final Map<UpstreamId, EngineAccount> mEngines = new HashMap<>();
    private final Map<AttemptId, Set<UpstreamId>> mEnginesByAttempt = new HashMap<>();

    private MemoryLedger(Builder builder) {
        mInstance = builder.mInstance;
        mIncarnation = builder.mIncarnation;
        mDirectory = builder.mDirectory;
        mGraceNanos = builder.mGraceNanos;
        mMaximumRequestNanos = builder.mMaximumRequestNanos;
    }

    /**
     * Starts the ledger of an instance, with a grace time of 5 s and requests of at most 30 min.
     *
     * @param directory what the instance knows of the others
     */
    public static Builder builder(
            InstanceId instance, long incarnation, InstanceDirectory directory) {
        return new Builder(instance, incarnation, directory);
    }

    /** Takes an engine's memory; a new incarnation starts empty. */
    public void updateEngine(UpstreamId upstream, long incarnation, long memoryTokens) {
        EngineAccount known = mEngines.get(upstream);
        if (known == null || known.incarnation() < incarnation) {
            removeEngine(upstream);
            mEngines.put(upstream, new EngineAccount(incarnation, memoryTokens));
        }
    }

    /** Forgets an engine that is gone, with all reservations on it. */
    public void removeEngine(UpstreamId upstream) {
        EngineAccount account = mEngines.remove(upstream);
        if (account != null) {
            account.reservedAttempts().forEach(attempt -> removePlacement(attempt, upstream));
        }
    }

    /**
     * Returns the tokens that are neither reserved here nor, by its last listing, used by others.
     */
    public long freeTokens(UpstreamId upstream) {
        return accountOrEmpty(upstream).freeTokens();
    }

    /** Reserves memory on one engine for an attempt of this instance. */
    public ReserveDecision reserve(
            UpstreamId upstream, AttemptId attempt, long tokens, long nowNanos) {
        EngineAccount account = mEngines.get(upstream);
        if (account == null || account.freeTokens() < tokens) {
            return new ReserveDecision.InsufficientMemory(upstream, freeTokens(upstream));
        }
        account.reserve(attempt, tokens, nowNanos);
        mEnginesByAttempt.computeIfAbsent(attempt, key -> new HashSet<>(2)).add(upstream);
        return new ReserveDecision.Reserved();
    }

    /** Reserves memory on several engines, each named once: all of it or nothing. */
    public ReserveDecision reserveAll(List<MemoryPart> parts, long nowNanos) {
        for (MemoryPart part : parts) {
            long free = freeTokens(part.upstream());
            if (!mEngines.containsKey(part.upstream()) || free < part.tokens()) {
                return new ReserveDecision.InsufficientMemory(part.upstream(), free);
            }
        }
        parts.forEach(part -> reserve(part.upstream(), part.attempt(), part.tokens(), nowNanos));
        return new ReserveDecision.Reserved();
    }

    /** Takes an attempt of this instance that was placed elsewhere, whatever is free. */
    public void recordPlacement(
            UpstreamId upstream, AttemptId attempt, long tokens, long startedNanos) {
        EngineAccount account = mEngines.get(upstream);
        if (account != null && !account.isReserved(attempt)) {
            account.reserve(attempt, tokens, startedNanos);
            mEnginesByAttempt.computeIfAbsent(attempt, key -> new HashSet<>(2)).add(upstream);
        }
    }

    /** Takes the KV exports that this instance needs on an engine, instead of those before. */
    public void setNeededExports(UpstreamId upstream, Set<String> handles) {
        accountOrEmpty(upstream).setNeededExports(handles);
    }

    /**
     * Takes the longest time limit of any profile. It is never lowered, as requests that were
     * admitted under an earlier configuration keep their limit.
     */
    public void raiseMaximumRequestDuration(long durationNanos) {
        mMaximumRequestNanos = Math.max(mMaximumRequestNanos, durationNanos);
    }

    /** Ends the reservations of an attempt on all engines. */
    public void release(AttemptId attempt) {
        Set<UpstreamId> upstreams = mEnginesByAttempt.remove(attempt);
        if (upstreams != null) {
            upstreams.forEach(upstream -> accountOrEmpty(upstream).release(attempt));
        }
    }

    /**
     * Takes a KV export of this instance.
     *
     * @param owner the attempt that needs it; when that has no reservation left, it is forgotten
     */
    public void recordExport(UpstreamId upstream, String handle, AttemptId owner) {
        accountOrEmpty(upstream).addExport(handle, owner);
    }

    /** Ends an export that the engine has released. */
    public void recordExportRelease(UpstreamId upstream, String handle) {
        accountOrEmpty(upstream).removeExport(handle);
    }

    /**
     * Compares what an engine lists with what its owners still need. What nobody owns is to be
     * cancelled or released after the grace time, counted from when it was first seen without an
     * owner; the action is repeated until the engine lists it no more.
     *
     * @param requestedNanos when the listing was asked for
     */
    public List<MemoryAction> reconcile(EngineListing listing, long requestedNanos, long nowNanos) {
        EngineAccount account = mEngines.get(listing.upstream());
        if (account == null || account.incarnation() != listing.incarnation()) {
            return List.of();
        }
        List<MemoryAction> actions = new ArrayList<>();
        Set<String> listed = new HashSet<>();
        long foreignTokens = 0;
        for (EngineListing.HeldAttempt held : listing.attempts()) {
            AttemptId attempt = held.attempt();
            listed.add(attempt.value());
            if (!account.isReserved(attempt)) {
                foreignTokens += held.tokens();
                Optional<AttemptOrigin> origin = AttemptIds.originOf(attempt);
                if (account.orphanTimedOut(
                        attempt.value(), orphanTimeoutNanos(origin, nowNanos), nowNanos)) {
                    actions.add(new MemoryAction.CancelAttempt(listing.upstream(), attempt));
                }
            }
        }
        for (EngineListing.HeldExport held : listing.exports()) {
            String key = EngineAccount.exportKey(held.handle());
            listed.add(key);
            Optional<AttemptOrigin> origin = AttemptIds.originOfHandle(held.handle());
            // The memory of an export is that of its attempt as long as this is reserved.
            boolean alreadyReserved =
                    origin.isPresent() && account.isReserved(AttemptIds.idOf(origin.get()));
            foreignTokens += alreadyReserved ? 0 : held.tokens();
            AttemptId owner = account.exportOwner(held.handle());
            boolean needed =
                    account.isExportNeeded(held.handle())
                            || (owner != null && mEnginesByAttempt.containsKey(owner));
            long timeoutNanos = needed ? NEVER : orphanTimeoutNanos(origin, nowNanos);
            if (account.orphanTimedOut(key, timeoutNanos, nowNanos)) {
                actions.add(new MemoryAction.ReleaseExport(listing.upstream(), held.handle()));
            }
        }
        account.applyListing(listed, foreignTokens);
        for (AttemptId missing : account.missingAttempts(listed, requestedNanos, mGraceNanos)) {
            actions.add(new MemoryAction.AttemptMissing(listing.upstream(), missing));
        }
        return actions;
    }

    /** How long something must have been seen without its owner's need before it is ended. */
    private long orphanTimeoutNanos(Optional<AttemptOrigin> origin, long nowNanos) {
        // Whatever was listed once had started by then, and each request ends within its limit. How
        // long the owner has been silent says nothing: it may start work while it is cut off.
        long maximumLifetimeNanos = mMaximumRequestNanos + mGraceNanos;
        if (origin.isEmpty()) {
            return maximumLifetimeNanos;
        }
        InstanceId instance = origin.get().instance();
        long incarnation = origin.get().incarnation();
        if (instance.equals(mInstance)) {
            // A number above the present one was given before the wall clock was set back.
            return incarnation <= mIncarnation ? mGraceNanos : maximumLifetimeNanos;
        }
        return switch (mDirectory.state(instance, incarnation, nowNanos)) {
            case OwnerState.Live live -> NEVER;
            case OwnerState.Terminated dead -> mGraceNanos;
            case OwnerState.Unresponsive silent -> maximumLifetimeNanos;
        };
    }

    private void removePlacement(AttemptId attempt, UpstreamId upstream) {
        mEnginesByAttempt.computeIfPresent(
                attempt,
                (key, upstreams) -> {
                    upstreams.remove(upstream);
                    return upstreams.isEmpty() ? null : upstreams;
                });
    }

    private EngineAccount accountOrEmpty(UpstreamId upstream) {
        EngineAccount account = mEngines.get(upstream);
        return account == null ? new EngineAccount(NEVER, 0) : account;
    }

    /** Builds a {@link MemoryLedger}. Not thread-safe. */
    public static final class Builder {
        private final InstanceId mInstance;
        private final long mIncarnation;
        private final InstanceDirectory mDirectory;
        private long mGraceNanos = TimeUnit.SECONDS.toNanos(5);
        private long mMaximumRequestNanos = TimeUnit.MINUTES.toNanos(30);

        private Builder(InstanceId instance, long incarnation, InstanceDirectory directory) {
            mInstance = instance;
            mIncarnation = incarnation;
            mDirectory = directory;
        }

        /** Sets the grace time; longer than a cancel, an export or a listing may take. */
        public Builder graceNanos(long value) {
            mGraceNanos = value;
            return this;
        }

        /** Sets the longest time limit that any profile has. */
        public Builder maximumRequestNanos(long value) {
            mMaximumRequestNanos = value;
            return this;
        }

        /** Returns a ledger that knows no engine yet. */
        public MemoryLedger build() {
            return new MemoryLedger(this);
        }
    }
}
