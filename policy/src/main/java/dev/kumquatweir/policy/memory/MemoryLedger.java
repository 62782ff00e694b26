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
 * One instance's account of the memory of engines. Memory for attempts of this instance is reserved
 * before they are sent; memory used by other instances is known from the engines' listings.
 * Reconciliation finds attempts and exports that no longer have an owner. Not thread-safe: owned by
 * a single event loop.
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
     * Returns a builder with a grace time of 5 s and a maximum request duration of 30 min.
     *
     * @param instance the instance that owns the ledger
     * @param incarnation incarnation of this instance
     * @param directory its view of the other instances
     */
    public static Builder builder(
            InstanceId instance, long incarnation, InstanceDirectory directory) {
        return new Builder(instance, incarnation, directory);
    }

    /** Adds an engine, or replaces it by a newer incarnation without any reservations. */
    public void updateEngine(UpstreamId upstream, long incarnation, long memoryTokens) {
        EngineAccount existing = mEngines.get(upstream);
        if (existing == null || existing.incarnation() < incarnation) {
            removeEngine(upstream);
            mEngines.put(upstream, new EngineAccount(incarnation, memoryTokens));
        }
    }

    /** Removes an engine and all reservations on it. */
    public void removeEngine(UpstreamId upstream) {
        EngineAccount account = mEngines.remove(upstream);
        if (account != null) {
            account.reservedAttempts().forEach(attempt -> removePlacement(attempt, upstream));
        }
    }

    /**
     * Returns the memory of an engine, in tokens, that is neither reserved by this instance nor
     * used by others according to the engine's last listing; 0 if the engine is not known.
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

    /**
     * Reserves memory on several engines, either on all of them or on none.
     *
     * @param parts the reservations, at most one for each engine
     */
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

    /**
     * Reserves memory for an attempt of this instance that another component has already placed,
     * regardless of free memory. Has no effect if the attempt is already reserved there.
     *
     * @param placedNanos when the attempt was placed
     */
    public void recordPlacement(
            UpstreamId upstream, AttemptId attempt, long tokens, long placedNanos) {
        EngineAccount account = mEngines.get(upstream);
        if (account != null && !account.isReserved(attempt)) {
            account.reserve(attempt, tokens, placedNanos);
            mEnginesByAttempt.computeIfAbsent(attempt, key -> new HashSet<>(2)).add(upstream);
        }
    }

    /** Replaces the set of KV exports that this instance needs on an engine. */
    public void setNeededExports(UpstreamId upstream, Set<String> handles) {
        accountOrEmpty(upstream).setNeededExports(handles);
    }

    /**
     * Raises the maximum request duration to the longest time limit of all profiles. It is never
     * lowered, because requests admitted under an earlier configuration keep their time limit.
     */
    public void raiseMaximumRequestDuration(long durationNanos) {
        mMaximumRequestNanos = Math.max(mMaximumRequestNanos, durationNanos);
    }

    /** Releases the reservations of an attempt on all engines. */
    public void release(AttemptId attempt) {
        Set<UpstreamId> upstreams = mEnginesByAttempt.remove(attempt);
        if (upstreams != null) {
            upstreams.forEach(upstream -> accountOrEmpty(upstream).release(attempt));
        }
    }

    /**
     * Records a KV export of this instance.
     *
     * @param owner the attempt that needs the export; the export is an orphan once this attempt has
     *     no reservation left
     */
    public void recordExport(UpstreamId upstream, String handle, AttemptId owner) {
        accountOrEmpty(upstream).addExport(handle, owner);
    }

    /** Removes an export that is released on the engine. */
    public void recordExportRelease(UpstreamId upstream, String handle) {
        accountOrEmpty(upstream).removeExport(handle);
    }

    /**
     * Compares the listing of an engine with what the owners still need. Attempts and exports
     * without an owner are to be cancelled or released after a timeout, counted from when they were
     * first listed without an owner: the grace time if the owner is known not to need them, and the
     * maximum request duration plus the grace time if its state is unknown. An action is repeated
     * with each listing until the engine no longer lists its subject.
     *
     * @param requestedNanos when the listing was requested
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
            // While the attempt of an export is reserved, its reservation covers the export.
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

    /**
     * Returns how long an attempt or export must have been listed without being needed by an owner
     * before it is cancelled or released.
     */
    private long orphanTimeoutNanos(Optional<AttemptOrigin> origin, long nowNanos) {
        // A listed attempt had started by then, and each request ends within its time limit. The
        // time since the owner's last message does not matter: an owner that cannot reach this
        // instance may still start attempts.
        long maximumLifetimeNanos = mMaximumRequestNanos + mGraceNanos;
        if (origin.isEmpty()) {
            return maximumLifetimeNanos;
        }
        InstanceId instance = origin.get().instance();
        long incarnation = origin.get().incarnation();
        if (instance.equals(mInstance)) {
            // A higher incarnation dates from before the wall clock was set back.
            return incarnation <= mIncarnation ? mGraceNanos : maximumLifetimeNanos;
        }
        return switch (mDirectory.state(instance, incarnation, nowNanos)) {
            case OwnerState.Live live -> NEVER;
            case OwnerState.Terminated terminated -> mGraceNanos;
            case OwnerState.Unresponsive unresponsive -> maximumLifetimeNanos;
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

        /** Sets the grace time, which has to exceed the time of a cancel, export or listing. */
        public Builder graceNanos(long value) {
            mGraceNanos = value;
            return this;
        }

        /** Sets the longest time limit of all profiles. */
        public Builder maximumRequestNanos(long value) {
            mMaximumRequestNanos = value;
            return this;
        }

        /** Returns a ledger without any engines. */
        public MemoryLedger build() {
            return new MemoryLedger(this);
        }
    }
}
