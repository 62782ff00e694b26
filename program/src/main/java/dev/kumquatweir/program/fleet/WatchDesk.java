package dev.kumquatweir.program.fleet;

import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.transport.Responder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * The watchers of one control instance: each waits for news, and confirmations wait until the entry
 * instances have the news. Used by one thread.
 */
final class WatchDesk {
    /** An entry instance that has not asked for so long is out of touch and not waited for. */
    private static final long SEEN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

    /**
     * The leader tells routing at once. The others tell it to watchers that still lack it after
     * this time, or each watcher would get the whole document from every control instance.
     */
    private static final long FOLLOWER_ROUTING_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Upstreams wait a second for a confirmation. */
    private static final long CONFIRM_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final UpstreamDirectory mOwn;
    private final long mLife;
    private final Map<InstanceId, Pending> mPending = new LinkedHashMap<>();
    private final Map<InstanceId, Seen> mEntries = new HashMap<>();
    private final Map<InstanceId, Long> mTold = new HashMap<>();
    private final List<Confirmation> mConfirmations = new ArrayList<>();
    private long mTellings;
    private long mRoutingNanos;
    private State mState = new State(0, false, List.of(), 0, RoutingImage.EMPTY);

    /**
     * What watchers are told beside notices.
     *
     * @param term term of the replica
     * @param leading whether it leads
     * @param members members of the group
     * @param membersIndex how far in the log the replica was when it learned of them
     * @param routing what is in force
     */
    record State(
            long term,
            boolean leading,
            List<InstanceId> members,
            long membersIndex,
            RoutingImage routing) {}

    private record Pending(
            WatchRequest request, Responder responder, long askedNanos, long dueNanos) {}

    private record Seen(long nanos, long revision) {}

    private record Confirmation(CompletableFuture<Boolean> done, long revision, long dueNanos) {}

    /**
     * @param own notices that were heard by this instance itself
     * @param life number of this life of the process
     */
    WatchDesk(UpstreamDirectory own, long life) {
        mOwn = own;
        mLife = life;
    }

    /** Takes a request of a watcher; answers at once if there is news for it. */
    void watch(InstanceId peer, WatchRequest request, Responder responder, long nowNanos) {
        if (request.entry()) {
            long known = request.directoryLife() == mLife ? request.directoryRevision() : 0;
            mEntries.put(peer, new Seen(nowNanos, known));
            confirm(nowNanos);
        }
        long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.holdMillis());
        Pending pending = new Pending(request, responder, nowNanos, dueNanos);
        // What was told while the watcher was not asking would otherwise wait for the next time.
        boolean missed = mTold.getOrDefault(peer, -1L) != mTellings;
        if (missed || news(pending)) {
            answer(peer, pending, nowNanos);
        } else {
            mPending.put(peer, pending);
        }
    }

    /** Sets what watchers are told, and tells them if it has changed. */
    void state(State state, long nowNanos) {
        if (!state.equals(mState)) {
            if (state.routing().changeCount() != mState.routing().changeCount()) {
                mRoutingNanos = nowNanos;
            }
            mState = state;
            tell(nowNanos);
        }
    }

    /** Answers all watchers now. */
    void tell(long nowNanos) {
        mTellings++;
        Map<InstanceId, Pending> waiting = new LinkedHashMap<>(mPending);
        mPending.clear();
        waiting.forEach((peer, pending) -> answer(peer, pending, nowNanos));
    }

    /** Completes once the entry instances in touch have all notices up to now, or after a while. */
    CompletionStage<Boolean> confirmed(long nowNanos) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mConfirmations.add(new Confirmation(done, mOwn.revision(), nowNanos + CONFIRM_NANOS));
        confirm(nowNanos);
        return done;
    }

    /** Answers watchers and confirmations whose time has come. */
    void tick(long nowNanos) {
        List<InstanceId> due =
                mPending.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue().dueNanos() >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        due.forEach(
                peer -> {
                    Pending pending = mPending.remove(peer);
                    if (pending != null) {
                        answer(peer, pending, nowNanos);
                    }
                });
        confirm(nowNanos);
    }

    /** Returns the entry instances that have not asked for so long, and forgets them. */
    List<InstanceId> lostEntries(long silentNanos, long nowNanos) {
        List<InstanceId> lost =
                mEntries.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue().nanos() > silentNanos)
                        .map(Map.Entry::getKey)
                        .toList();
        mEntries.keySet().removeAll(lost);
        return lost;
    }

    private boolean news(Pending pending) {
        return tellsRouting(pending) || pending.request().directoryLife() != mLife;
    }

    private boolean tellsRouting(Pending pending) {
        boolean lacks = mState.routing().changeCount() > pending.request().routingChanges();
        boolean settled = pending.askedNanos() - mRoutingNanos >= FOLLOWER_ROUTING_NANOS;
        return lacks && (mState.leading() || settled);
    }

    private void answer(InstanceId peer, Pending pending, long nowNanos) {
        mTold.put(peer, mTellings);
        WatchRequest request = pending.request();
        RoutingImage routing = mState.routing();
        long known = request.directoryLife() == mLife ? request.directoryRevision() : 0;
        WatchAnswer answer =
                new WatchAnswer(
                        mState.term(),
                        mState.leading(),
                        mState.members(),
                        mState.membersIndex(),
                        mEntries.size(),
                        tellsRouting(pending) ? Optional.of(routing) : Optional.empty(),
                        mLife,
                        mOwn.revision(),
                        mOwn.since(known, nowNanos));
        pending.responder().respond(answer.encode());
    }

    private void confirm(long nowNanos) {
        if (mConfirmations.isEmpty()) {
            return;
        }
        long reached =
                mEntries.values().stream()
                        .filter(seen -> nowNanos - seen.nanos() < SEEN_NANOS)
                        .mapToLong(Seen::revision)
                        .min()
                        .orElse(0);
        List<Confirmation> ready =
                mConfirmations.stream()
                        .filter(
                                each ->
                                        each.revision() <= reached
                                                || nowNanos - each.dueNanos() >= 0)
                        .toList();
        mConfirmations.removeAll(ready);
        ready.forEach(each -> each.done().complete(true));
    }
}
