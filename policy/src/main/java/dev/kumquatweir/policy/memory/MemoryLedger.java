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
    private long mLongestRequestNanos;
    private final Map<UpstreamId, EngineAccount> mEngines = new HashMap<>();
    private final Map<AttemptId, Set<UpstreamId>> mPlaces = new HashMap<>();

    private MemoryLedger(Builder builder) {
        mInstance = builder.mInstance;
        mIncarnation = builder.mIncarnation;
        mDirectory = builder.mDirectory;
        mGraceNanos = builder.mGraceNanos;
        mLongestRequestNanos = builder.mLongestRequestNanos;
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
    public void engine(UpstreamId upstream, long incarnation, long memoryTokens) {
        EngineAccount known = mEngines.get(upstream);
        if (known == null || known.incarnation() < incarnation) {
            forget(upstream);
            mEngines.put(upstream, new EngineAccount(incarnation, memoryTokens));
        }
    }

    /** Forgets an engine that is gone, with all reservations on it. */
    public void forget(UpstreamId upstream) {
        EngineAccount account = mEngines.remove(upstream);
        if (account != null) {
            account.attempts().forEach(attempt -> leave(attempt, upstream));
        }
    }

    /**
     * Returns the tokens that are neither reserved here nor, by its last listing, used by others.
     */
    public long freeTokens(UpstreamId upstream) {
        return account(upstream).free();
    }

    /** Reserves memory on one engine for an attempt of this instance. */
    public ReserveDecision reserve(
            UpstreamId upstream, AttemptId attempt, long tokens, long nowNanos) {
        EngineAccount account = mEngines.get(upstream);
        if (account == null || account.free() < tokens) {
            return new ReserveDecision.NoMemory(upstream, freeTokens(upstream));
        }
        account.reserve(attempt, tokens, nowNanos);
        mPlaces.computeIfAbsent(attempt, key -> new HashSet<>(2)).add(upstream);
        return new ReserveDecision.Reserved();
    }

    /** Reserves memory on several engines, each named once: all of it or nothing. */
    public ReserveDecision reserveAll(List<MemoryPart> parts, long nowNanos) {
        for (MemoryPart part : parts) {
            long free = freeTokens(part.upstream());
            if (!mEngines.containsKey(part.upstream()) || free < part.tokens()) {
                return new ReserveDecision.NoMemory(part.upstream(), free);
            }
        }
        parts.forEach(part -> reserve(part.upstream(), part.attempt(), part.tokens(), nowNanos));
        return new ReserveDecision.Reserved();
    }

    /** Takes an attempt of this instance that was placed elsewhere, whatever is free. */
    public void placed(UpstreamId upstream, AttemptId attempt, long tokens, long sinceNanos) {
        EngineAccount account = mEngines.get(upstream);
        if (account != null && !account.reserved(attempt)) {
            account.reserve(attempt, tokens, sinceNanos);
            mPlaces.computeIfAbsent(attempt, key -> new HashSet<>(2)).add(upstream);
        }
    }

    /** Takes the KV exports that this instance needs on an engine, instead of those before. */
    public void neededExports(UpstreamId upstream, Set<String> handles) {
        account(upstream).neededExports(handles);
    }

    /**
     * Takes the longest time limit of any profile. It is never lowered, as requests that were
     * admitted under an earlier configuration keep their limit.
     */
    public void longestRequest(long nanos) {
        mLongestRequestNanos = Math.max(mLongestRequestNanos, nanos);
    }

    /** Ends the reservations of an attempt on all engines. */
    public void release(AttemptId attempt) {
        Set<UpstreamId> upstreams = mPlaces.remove(attempt);
        if (upstreams != null) {
            upstreams.forEach(upstream -> account(upstream).release(attempt));
        }
    }

    /**
     * Takes a KV export of this instance.
     *
     * @param owner the attempt that needs it; when that has no reservation left, it is forgotten
     */
    public void exported(UpstreamId upstream, String handle, AttemptId owner) {
        account(upstream).exported(handle, owner);
    }

    /** Ends an export that the engine has released. */
    public void exportReleased(UpstreamId upstream, String handle) {
        account(upstream).exportReleased(handle);
    }

    /**
     * Compares what an engine lists with what its owners still need. What nobody owns is to be
     * cancelled or released after the grace time, counted from when it was first seen without an
     * owner; the action is repeated until the engine lists it no more.
     *
     * @param askedNanos when the listing was asked for
     */
    public List<MemoryAction> reconcile(EngineListing listing, long askedNanos, long nowNanos) {
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
            if (!account.reserved(attempt)) {
                foreignTokens += held.tokens();
                Optional<AttemptOrigin> origin = AttemptIds.originOf(attempt);
                if (account.orphaned(attempt.value(), patience(origin, nowNanos), nowNanos)) {
                    actions.add(new MemoryAction.CancelAttempt(listing.upstream(), attempt));
                }
            }
        }
        for (EngineListing.HeldExport held : listing.exports()) {
            String key = EngineAccount.exportKey(held.handle());
            listed.add(key);
            Optional<AttemptOrigin> origin = AttemptIds.originOfHandle(held.handle());
            // The memory of an export is that of its attempt as long as this is reserved.
            boolean counted = origin.isPresent() && account.reserved(AttemptIds.idOf(origin.get()));
            foreignTokens += counted ? 0 : held.tokens();
            AttemptId owner = account.exportOwner(held.handle());
            boolean needed =
                    account.needsExport(held.handle())
                            || (owner != null && mPlaces.containsKey(owner));
            long patience = needed ? NEVER : patience(origin, nowNanos);
            if (account.orphaned(key, patience, nowNanos)) {
                actions.add(new MemoryAction.ReleaseExport(listing.upstream(), held.handle()));
            }
        }
        account.listed(listed, foreignTokens);
        for (AttemptId missing : account.missing(listed, askedNanos, mGraceNanos)) {
            actions.add(new MemoryAction.AttemptMissing(listing.upstream(), missing));
        }
        return actions;
    }

    /** How long something must have been seen without its owner's need before it is ended. */
    private long patience(Optional<AttemptOrigin> origin, long nowNanos) {
        // Whatever was listed once had started by then, and each request ends within its limit. How
        // long the owner has been silent says nothing: it may start work while it is cut off.
        long untilEnded = mLongestRequestNanos + mGraceNanos;
        if (origin.isEmpty()) {
            return untilEnded;
        }
        InstanceId instance = origin.get().instance();
        long incarnation = origin.get().incarnation();
        if (instance.equals(mInstance)) {
            // A number above the present one was given before the wall clock was set back.
            return incarnation <= mIncarnation ? mGraceNanos : untilEnded;
        }
        return switch (mDirectory.state(instance, incarnation, nowNanos)) {
            case OwnerState.Live live -> NEVER;
            case OwnerState.Dead dead -> mGraceNanos;
            case OwnerState.Silent silent -> untilEnded;
        };
    }

    private void leave(AttemptId attempt, UpstreamId upstream) {
        mPlaces.computeIfPresent(
                attempt,
                (key, upstreams) -> {
                    upstreams.remove(upstream);
                    return upstreams.isEmpty() ? null : upstreams;
                });
    }

    private EngineAccount account(UpstreamId upstream) {
        EngineAccount account = mEngines.get(upstream);
        return account == null ? new EngineAccount(NEVER, 0) : account;
    }

    /** Builds a {@link MemoryLedger}. Not thread-safe. */
    public static final class Builder {
        private final InstanceId mInstance;
        private final long mIncarnation;
        private final InstanceDirectory mDirectory;
        private long mGraceNanos = TimeUnit.SECONDS.toNanos(5);
        private long mLongestRequestNanos = TimeUnit.MINUTES.toNanos(30);

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
        public Builder longestRequestNanos(long value) {
            mLongestRequestNanos = value;
            return this;
        }

        /** Returns a ledger that knows no engine yet. */
        public MemoryLedger build() {
            return new MemoryLedger(this);
        }
    }
}
