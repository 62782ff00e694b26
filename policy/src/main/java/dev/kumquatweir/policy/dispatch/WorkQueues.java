package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.Team;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.policy.admission.DrainRate;
import dev.kumquatweir.policy.fairness.FairQueue;
import dev.kumquatweir.policy.routing.LengthClass;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The queued requests of an instance, with one queue per service, model and length class, and the
 * tokens in use by each team. Not thread-safe: owned by the dispatch duty.
 */
final class WorkQueues {
    /**
     * Failed placements after which a pass assumes that the rest of the queue cannot be placed
     * either.
     */
    private static final int PLACEMENT_TRIES_PER_PASS = 4;

    /** Drain rate assumed until work has left a queue, in tokens per nanosecond. */
    private static final double INITIAL_DRAIN_RATE = 20_000.0 / TimeUnit.SECONDS.toNanos(1);

    /**
     * Maximum length of one queue, in requests. When it is reached, more urgent work sheds the
     * least urgent.
     */
    private static final int MAXIMUM_QUEUE_LENGTH = 10_000;

    private record Key(ServiceName service, @Nullable ModelName model, LengthClass length) {}

    private record TeamUsageKey(ProfileName profile, TeamName team) {}

    private static final class WorkQueue {
        private final FairQueue<TrackedRequest> mQueue;
        private final DrainRate mDrain;

        private WorkQueue(FairQueue<TrackedRequest> queue, DrainRate drain) {
            mQueue = queue;
            mDrain = drain;
        }
    }

    private final Map<Key, WorkQueue> mWorkQueues = new LinkedHashMap<>();
    private final Map<TeamUsageKey, Long> mTokensInUseByTeam = new HashMap<>();
    private final Map<ProfileName, Long> mTokensInUseByProfile = new HashMap<>();
    private ConfigurationDocument mDocument = ConfigurationDocument.EMPTY;

    /** Applies a newer configuration. New weights take effect with the next request of a team. */
    void configure(ConfigurationDocument document) {
        mDocument = document;
    }

    /** Adds a newly admitted request. */
    void add(TrackedRequest tracked, long nowNanos) {
        line(tracked, nowNanos).mQueue.add(tracked);
        tracked.mQueued = true;
    }

    /**
     * Adds a request whose attempt failed, ahead of other requests of its team.
     *
     * @param ran whether the attempt may have executed
     */
    void requeue(TrackedRequest tracked, boolean ran, long nowNanos) {
        WorkQueue line = line(tracked, nowNanos);
        line.mQueue.addFirst(tracked, !ran);
        tracked.mQueued = true;
        if (!ran) {
            line.mDrain.recordDrained(-tracked.tokens(), nowNanos);
        }
    }

    /** Removes a request that ended while it was queued. */
    void remove(TrackedRequest tracked, long nowNanos) {
        if (tracked.mQueued) {
            line(tracked, nowNanos).mQueue.remove(tracked);
            tracked.mQueued = false;
        }
    }

    /** Adds a request that now occupies an upstream to the usage of its team. */
    void held(TrackedRequest tracked) {
        change(tracked, tracked.tokens());
    }

    /** Subtracts a request that no longer occupies an upstream from the usage of its team. */
    void released(TrackedRequest tracked) {
        change(tracked, -tracked.tokens());
    }

    /** Returns the estimated queueing time of a new request. */
    double queueNanos(WorkRequest request, long nowNanos) {
        WorkQueue line = mWorkQueues.get(key(request));
        if (line == null || line.mQueue.size() == 0) {
            return 0;
        }
        line.mDrain.advance(nowNanos, true);
        long ahead = line.mQueue.tokensAhead(request.team(), request.profile().priority());
        return line.mDrain.nanosFor(ahead);
    }

    /**
     * Returns a request to shed in favour of a more urgent one, null if the queue is not full or
     * has none.
     */
    @Nullable TrackedRequest victim(WorkRequest request) {
        WorkQueue line = mWorkQueues.get(key(request));
        return line == null || line.mQueue.size() < MAXIMUM_QUEUE_LENGTH
                ? null
                : line.mQueue.shedBelow(request.profile().priority());
    }

    /** Returns whether the queue for a request is full. */
    boolean full(WorkRequest request) {
        WorkQueue line = mWorkQueues.get(key(request));
        return line != null && line.mQueue.size() >= MAXIMUM_QUEUE_LENGTH;
    }

    /**
     * Tries to place queued requests in fair order.
     *
     * @param place places a request and returns whether it succeeded
     */
    void serve(Predicate<TrackedRequest> place, long nowNanos) {
        for (WorkQueue line : mWorkQueues.values()) {
            boolean waiting = line.mQueue.size() > 0;
            line.mDrain.advance(nowNanos, waiting);
            if (waiting) {
                serve(line, place, nowNanos);
            }
        }
    }

    /** Returns all queued requests. */
    Collection<TrackedRequest> waiting() {
        List<TrackedRequest> waiting = new ArrayList<>();
        mWorkQueues.values().forEach(line -> waiting.addAll(line.mQueue.all()));
        return waiting;
    }

    /** Changes the urgency of a queued request. */
    void changeUrgency(TrackedRequest tracked, int urgency, long nowNanos) {
        FairQueue<TrackedRequest> queue = line(tracked, nowNanos).mQueue;
        if (queue.remove(tracked)) {
            tracked.mUrgency = urgency;
            queue.add(tracked);
        }
    }

    private void serve(WorkQueue line, Predicate<TrackedRequest> place, long nowNanos) {
        Set<TrackedRequest> tried = new HashSet<>();
        while (line.mQueue.size() > 0 && tried.size() < PLACEMENT_TRIES_PER_PASS) {
            TrackedRequest next =
                    line.mQueue.next(
                            head ->
                                    !tried.contains(head)
                                            && nowNanos >= head.mNotBeforeNanos
                                            && withinShare(line, head));
            if (next == null) {
                return;
            }
            if (place.test(next)) {
                line.mQueue.take(next);
                next.mQueued = false;
                line.mDrain.recordDrained(next.tokens(), nowNanos);
            } else {
                tried.add(next);
            }
        }
    }

    /**
     * Returns whether a team is within its share of the tokens in use. Shares apply per profile,
     * since one running long request would otherwise block all short requests of its team. Requests
     * of the highest urgency are exempt.
     */
    private boolean withinShare(WorkQueue line, TrackedRequest head) {
        ProfileName profile = head.mRequest.profile().name();
        long heldByTeam =
                mTokensInUseByTeam.getOrDefault(new TeamUsageKey(profile, head.team()), 0L);
        if (heldByTeam == 0
                || head.mUrgency == TrackedRequest.URGENT
                || !line.mQueue.otherTeamsWait(head.team())) {
            return true;
        }
        return heldByTeam
                <= mTokensInUseByProfile.getOrDefault(profile, 0L)
                        * head.mRequest.profile().teamShare();
    }

    private void change(TrackedRequest tracked, long tokens) {
        ProfileName profile = tracked.mRequest.profile().name();
        mTokensInUseByProfile.merge(profile, tokens, Long::sum);
        mTokensInUseByTeam.merge(
                new TeamUsageKey(profile, tracked.team()),
                tokens,
                (held, change) -> held + change == 0 ? null : held + change);
    }

    private WorkQueue line(TrackedRequest tracked, long nowNanos) {
        return mWorkQueues.computeIfAbsent(
                key(tracked.mRequest),
                key ->
                        new WorkQueue(
                                new FairQueue<>(this::weight, key.length() == LengthClass.LONG),
                                new DrainRate(INITIAL_DRAIN_RATE, nowNanos)));
    }

    private int weight(TeamName name) {
        Team team = mDocument.teams().get(name);
        return team == null ? 1 : team.weight();
    }

    private static Key key(WorkRequest request) {
        return new Key(
                request.profile().service(),
                request.model(),
                LengthClass.of(request.promptTokens()));
    }
}
