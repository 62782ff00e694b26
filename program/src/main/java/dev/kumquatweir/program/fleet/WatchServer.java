package dev.kumquatweir.program.fleet;

import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.transport.Responder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Serves the long-poll watch requests of other instances on a control instance. Also completes
 * confirmations once the entry instances have received the upstream statuses stored so far.
 * Confined to one thread.
 */
final class WatchServer {
    /** Confirmations don't wait for entry instances without a watch request for this long. */
    private static final long ENTRY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

    /**
     * The leader sends new routing at once. Followers send it only to watchers that still lack it
     * after this delay; otherwise each watcher would receive the whole document from every control
     * instance.
     */
    private static final long FOLLOWER_ROUTING_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Less than the second for which upstreams wait for a confirmation. */
    private static final long CONFIRMATION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAXIMUM_CARRIERS = 8;

    private final UpstreamDirectory mLocalUpstreams;
    private final QuarantineDirectory mQuarantine;
    private final long mIncarnation;
    private final Map<InstanceId, PendingWatch> mPendingWatches = new LinkedHashMap<>();
    private final Map<InstanceId, EntryProgress> mEntries = new HashMap<>();
    private final Map<InstanceId, Long> mLastNotificationByPeer = new HashMap<>();
    private final List<Confirmation> mConfirmations = new ArrayList<>();
    private final CompactRouting mCompactRouting = new CompactRouting();
    private long mNotificationCount;
    private long mRoutingChangedNanos;
    private State mState = new State(0, false, List.of(), 0, RoutingImage.EMPTY);

    /**
     * State that watchers receive in addition to upstream statuses.
     *
     * @param term term of the replica
     * @param leading whether the replica is the leader
     * @param members members of the group
     * @param membersIndex commit index of the replica when it learned of the members
     * @param routing routing state in force
     */
    record State(
            long term,
            boolean leading,
            List<InstanceId> members,
            long membersIndex,
            RoutingImage routing) {}

    private record PendingWatch(
            WatchRequest request,
            boolean compact,
            Responder responder,
            long receivedNanos,
            long dueNanos) {}

    private record EntryProgress(long lastRequestNanos, long knownRevision, boolean cutOff) {}

    private record Confirmation(CompletableFuture<Boolean> done, long revision, long dueNanos) {}

    /**
     * @param localUpstreams statuses received by this instance directly from upstreams
     * @param quarantine verdicts on parts of prompts known to this instance
     * @param incarnation number that identifies this start of the process
     */
    WatchServer(
            UpstreamDirectory localUpstreams, QuarantineDirectory quarantine, long incarnation) {
        mLocalUpstreams = localUpstreams;
        mQuarantine = quarantine;
        mIncarnation = incarnation;
    }

    /**
     * Handles a watch request; responds at once if there are changes for the watcher.
     *
     * @param compact whether the watcher expects a compressed routing document
     */
    void watch(
            InstanceId peer,
            WatchRequest request,
            boolean compact,
            Responder responder,
            long nowNanos) {
        if (request.fromEntry()) {
            long knownRevision =
                    request.directoryIncarnation() == mIncarnation
                            ? request.directoryRevision()
                            : 0;
            mEntries.put(peer, new EntryProgress(nowNanos, knownRevision, request.cutOff()));
            completeConfirmations(nowNanos);
        }
        long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.maximumWaitMillis());
        PendingWatch pending = new PendingWatch(request, compact, responder, nowNanos, dueNanos);
        // A notification sent while the watcher had no pending request would otherwise be delayed
        // until the next one.
        boolean missedNotification =
                mLastNotificationByPeer.getOrDefault(peer, -1L) != mNotificationCount;
        if (missedNotification || hasNews(pending, nowNanos)) {
            respond(peer, pending, nowNanos);
        } else {
            mPendingWatches.put(peer, pending);
        }
    }

    /** Sets the state for watchers and notifies them if it has changed. */
    void setState(State state, long nowNanos) {
        if (!state.equals(mState)) {
            if (state.routing().changeCount() != mState.routing().changeCount()) {
                mRoutingChangedNanos = nowNanos;
            }
            mState = state;
            notifyWatchers(nowNanos);
        }
    }

    /** Responds to all pending watch requests. */
    void notifyWatchers(long nowNanos) {
        mNotificationCount++;
        Map<InstanceId, PendingWatch> pendingWatches = new LinkedHashMap<>(mPendingWatches);
        mPendingWatches.clear();
        pendingWatches.forEach((peer, pending) -> respond(peer, pending, nowNanos));
    }

    /**
     * Completes when all entry instances in contact have received the statuses stored so far, or
     * after the confirmation timeout.
     */
    CompletionStage<Boolean> confirmDelivery(long nowNanos) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mConfirmations.add(
                new Confirmation(
                        done, mLocalUpstreams.revision(), nowNanos + CONFIRMATION_TIMEOUT_NANOS));
        completeConfirmations(nowNanos);
        return done;
    }

    /** Responds to watch requests that are due and completes confirmations. */
    void tick(long nowNanos) {
        List<InstanceId> due =
                mPendingWatches.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue().dueNanos() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        due.forEach(
                peer -> {
                    PendingWatch pending = mPendingWatches.remove(peer);
                    if (pending != null) {
                        respond(peer, pending, nowNanos);
                    }
                });
        completeConfirmations(nowNanos);
    }

    /** Removes and returns the entry instances without a watch request for the given time. */
    List<InstanceId> removeSilentEntries(long silentNanos, long nowNanos) {
        List<InstanceId> silentEntries =
                mEntries.entrySet().stream()
                        .filter(
                                entry ->
                                        nowNanos - entry.getValue().lastRequestNanos()
                                                > silentNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        mEntries.keySet().removeAll(silentEntries);
        return silentEntries;
    }

    private boolean hasNews(PendingWatch pending, long nowNanos) {
        return includesRouting(pending)
                || pending.request().directoryIncarnation() != mIncarnation
                || !newVerdicts(pending.request(), nowNanos).isEmpty();
    }

    /** Returns the verdicts that the watcher lacks; those in its request it has. */
    private List<QuarantineVerdict> newVerdicts(WatchRequest request, long nowNanos) {
        long knownRevision =
                request.directoryIncarnation() == mIncarnation ? request.quarantineRevision() : 0;
        return mQuarantine.changedSince(knownRevision, nowNanos).stream()
                .filter(verdict -> request.verdicts().stream().noneMatch(verdict::isSameAs))
                .toList();
    }

    private boolean includesRouting(PendingWatch pending) {
        boolean outdated = mState.routing().changeCount() > pending.request().routingChangeCount();
        boolean delayElapsed =
                pending.receivedNanos() - mRoutingChangedNanos >= FOLLOWER_ROUTING_DELAY_NANOS;
        return outdated && (mState.leading() || delayElapsed);
    }

    private void respond(InstanceId peer, PendingWatch pending, long nowNanos) {
        mLastNotificationByPeer.put(peer, mNotificationCount);
        WatchRequest request = pending.request();
        RoutingImage routing =
                pending.compact() && includesRouting(pending)
                        ? mCompactRouting.compact(mState.routing())
                        : mState.routing();
        long knownRevision =
                request.directoryIncarnation() == mIncarnation ? request.directoryRevision() : 0;
        WatchResponse response =
                new WatchResponse(
                        mState.term(),
                        mState.leading(),
                        mState.members(),
                        mState.membersIndex(),
                        mEntries.size(),
                        request.fromEntry() ? carriers(peer, nowNanos) : List.of(),
                        includesRouting(pending) ? Optional.of(routing) : Optional.empty(),
                        mIncarnation,
                        mLocalUpstreams.revision(),
                        mLocalUpstreams.changedSince(knownRevision, nowNanos),
                        mQuarantine.revision(),
                        newVerdicts(request, nowNanos));
        pending.responder().respond(response.encode());
    }

    /** Returns some entry instances that reach upstreams, others for each watcher. */
    private List<InstanceId> carriers(InstanceId watcher, long nowNanos) {
        List<InstanceId> reaching =
                mEntries.entrySet().stream()
                        .filter(entry -> !entry.getKey().equals(watcher))
                        .filter(entry -> !entry.getValue().cutOff())
                        .filter(
                                entry ->
                                        nowNanos - entry.getValue().lastRequestNanos()
                                                < ENTRY_TIMEOUT_NANOS)
                        .map(Map.Entry::getKey)
                        .sorted(Comparator.comparing(InstanceId::value))
                        .toList();
        if (reaching.isEmpty()) {
            return reaching;
        }
        int first = Math.floorMod(watcher.hashCode(), reaching.size());
        return IntStream.range(0, Math.min(MAXIMUM_CARRIERS, reaching.size()))
                .mapToObj(number -> reaching.get((first + number) % reaching.size()))
                .toList();
    }

    private void completeConfirmations(long nowNanos) {
        if (mConfirmations.isEmpty()) {
            return;
        }
        long deliveredRevision =
                mEntries.values().stream()
                        .filter(entry -> nowNanos - entry.lastRequestNanos() < ENTRY_TIMEOUT_NANOS)
                        .mapToLong(EntryProgress::knownRevision)
                        .min()
                        .orElse(0);
        List<Confirmation> ready =
                mConfirmations.stream()
                        .filter(
                                confirmation ->
                                        confirmation.revision() <= deliveredRevision
                                                || nowNanos - confirmation.dueNanos() >= 0)
                        .toList();
        mConfirmations.removeAll(ready);
        ready.forEach(confirmation -> confirmation.done().complete(true));
    }
}
