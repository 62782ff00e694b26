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
 * The waiting requests of an instance, one queue for each service, model and length class, and what
 * each team holds. Not thread-safe: owned by the dispatch duty.
 */
final class WorkQueues {
    /** Requests of a queue that are tried in one pass before the rest is taken to be stuck too. */
    private static final int TRIES = 4;

    /** Drain rate assumed before any work has left a queue, in tokens per nanosecond. */
    private static final double PRIOR_DRAIN = 20_000.0 / TimeUnit.SECONDS.toNanos(1);

    /** Longest queue of one kind of work, in requests. More urgent work then sheds the least. */
    private static final int LONGEST_QUEUE = 10_000;

    private record Key(ServiceName service, @Nullable ModelName model, LengthClass length) {}

    private record Holder(ProfileName profile, TeamName team) {}

    private static final class Line {
        private final FairQueue<TrackedRequest> mQueue;
        private final DrainRate mDrain;

        private Line(FairQueue<TrackedRequest> queue, DrainRate drain) {
            mQueue = queue;
            mDrain = drain;
        }
    }

    private final Map<Key, Line> mLines = new LinkedHashMap<>();
    private final Map<Holder, Long> mHeldByTeam = new HashMap<>();
    private final Map<ProfileName, Long> mHeld = new HashMap<>();
    private ConfigurationDocument mDocument = ConfigurationDocument.EMPTY;

    /** Takes a newer configuration; weights of waiting teams change with their next work. */
    void configure(ConfigurationDocument document) {
        mDocument = document;
    }

    /** Adds a request that was just admitted. */
    void add(TrackedRequest tracked, long nowNanos) {
        line(tracked, nowNanos).mQueue.add(tracked);
        tracked.mQueued = true;
    }

    /**
     * Adds a request whose attempt failed, before others of its team.
     *
     * @param ran whether the attempt may have used the upstream
     */
    void addAgain(TrackedRequest tracked, boolean ran, long nowNanos) {
        Line line = line(tracked, nowNanos);
        line.mQueue.addFirst(tracked, !ran);
        tracked.mQueued = true;
        if (!ran) {
            line.mDrain.recordDrained(-tracked.tokens(), nowNanos);
        }
    }

    /** Removes a request that ended while it waited. */
    void remove(TrackedRequest tracked, long nowNanos) {
        if (tracked.mQueued) {
            line(tracked, nowNanos).mQueue.remove(tracked);
            tracked.mQueued = false;
        }
    }

    /** Notes that a request occupies an upstream. */
    void held(TrackedRequest tracked) {
        change(tracked, tracked.tokens());
    }

    /** Notes that a request no longer occupies an upstream. */
    void released(TrackedRequest tracked) {
        change(tracked, -tracked.tokens());
    }

    /** Returns the estimated time until new work of this kind leaves the queue. */
    double queueNanos(WorkRequest request, long nowNanos) {
        Line line = mLines.get(key(request));
        if (line == null || line.mQueue.size() == 0) {
            return 0;
        }
        line.mDrain.advance(nowNanos, true);
        long ahead = line.mQueue.tokensAhead(request.team(), request.profile().priority());
        return line.mDrain.nanosFor(ahead);
    }

    /** Returns work to shed so that more urgent work finds room, null if there is no need. */
    @Nullable TrackedRequest victim(WorkRequest request) {
        Line line = mLines.get(key(request));
        return line == null || line.mQueue.size() < LONGEST_QUEUE
                ? null
                : line.mQueue.shedBelow(request.profile().priority());
    }

    /** Returns whether the queue of this kind of work is full. */
    boolean full(WorkRequest request) {
        Line line = mLines.get(key(request));
        return line != null && line.mQueue.size() >= LONGEST_QUEUE;
    }

    /**
     * Offers waiting requests in order of service.
     *
     * @param place places a request and returns whether it could
     */
    void serve(Predicate<TrackedRequest> place, long nowNanos) {
        for (Line line : mLines.values()) {
            boolean waiting = line.mQueue.size() > 0;
            line.mDrain.advance(nowNanos, waiting);
            if (waiting) {
                serve(line, place, nowNanos);
            }
        }
    }

    /** Returns the requests that wait, for periodic checks. */
    Collection<TrackedRequest> waiting() {
        List<TrackedRequest> waiting = new ArrayList<>();
        mLines.values().forEach(line -> waiting.addAll(line.mQueue.all()));
        return waiting;
    }

    /** Moves a waiting request to another urgency. */
    void changeUrgency(TrackedRequest tracked, int urgency, long nowNanos) {
        FairQueue<TrackedRequest> queue = line(tracked, nowNanos).mQueue;
        if (queue.remove(tracked)) {
            tracked.mUrgency = urgency;
            queue.add(tracked);
        }
    }

    private void serve(Line line, Predicate<TrackedRequest> place, long nowNanos) {
        Set<TrackedRequest> tried = new HashSet<>();
        while (line.mQueue.size() > 0 && tried.size() < TRIES) {
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
     * Returns whether a team may hold more. Shares count within one profile: a team that has one
     * long document running would otherwise get none of its short questions answered. Documents
     * that have little time left are served in any case.
     */
    private boolean withinShare(Line line, TrackedRequest head) {
        ProfileName profile = head.mRequest.profile().name();
        long heldByTeam = mHeldByTeam.getOrDefault(new Holder(profile, head.team()), 0L);
        if (heldByTeam == 0
                || head.mUrgency == TrackedRequest.URGENT
                || !line.mQueue.otherTeamsWait(head.team())) {
            return true;
        }
        return heldByTeam <= mHeld.getOrDefault(profile, 0L) * head.mRequest.profile().teamShare();
    }

    private void change(TrackedRequest tracked, long tokens) {
        ProfileName profile = tracked.mRequest.profile().name();
        mHeld.merge(profile, tokens, Long::sum);
        mHeldByTeam.merge(
                new Holder(profile, tracked.team()),
                tokens,
                (held, change) -> held + change == 0 ? null : held + change);
    }

    private Line line(TrackedRequest tracked, long nowNanos) {
        return mLines.computeIfAbsent(
                key(tracked.mRequest),
                key ->
                        new Line(
                                new FairQueue<>(this::weight, key.length() == LengthClass.LONG),
                                new DrainRate(PRIOR_DRAIN, nowNanos)));
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
