package dev.kumquatweir.program.system;

import dev.kumquatweir.platform.KeptConnection;
import dev.kumquatweir.platform.RecordingUpstream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Compares what callers got with what upstreams ran while processes were stopped as planned. */
final class PlannedStopCheck {
    /** A request sent that shortly before its connection closes may go unread. */
    private static final long CROSSING_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Requests sent up to this time after SIGTERM may be cut, if they run to the end. */
    private static final long ADMITTED_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final List<Observed> mObserved;
    private final Map<String, List<RecordingUpstream.Run>> mRuns;
    private final long mGraceNanos;
    private final String mFaults;
    private final List<String> mViolations = new ArrayList<>();

    /** An answer and the entry instance that was asked. */
    record Observed(FleetNode entry, KeptConnection.Answer answer) {}

    /**
     * Checks all answers.
     *
     * @param grace time after SIGTERM at which a process is ended by force
     * @param faults what was done to the processes, for the summary
     */
    PlannedStopCheck(
            List<Observed> observed,
            List<RecordingUpstream.Run> runs,
            Duration grace,
            String faults) {
        mObserved = observed;
        mRuns = runs.stream().collect(Collectors.groupingBy(RecordingUpstream.Run::requestId));
        mGraceNanos = grace.toNanos();
        mFaults = faults;
        observed.forEach(this::check);
    }

    /** Returns a line for each answer or missing answer that must not be. */
    List<String> violations() {
        return mViolations;
    }

    String summary() {
        Map<String, Long> results =
                mObserved.stream()
                        .map(Observed::answer)
                        .collect(
                                Collectors.groupingBy(
                                        answer ->
                                                answer.status() + (answer.complete() ? "" : "_cut"),
                                        TreeMap::new,
                                        Collectors.counting()));
        return "%s requests=%d results=%s violations=%d"
                .formatted(mFaults, mObserved.size(), results, mViolations.size());
    }

    private void check(Observed observed) {
        KeptConnection.Answer answer = observed.answer();
        List<RecordingUpstream.Run> runs = mRuns.getOrDefault(answer.request().id(), List.of());
        boolean promised = answer.status() == TOO_MANY || answer.status() == UNAVAILABLE;
        if (promised && !runs.isEmpty()) {
            report("ran although refused", observed, runs);
        }
        if (runs.size() > 1 && !answer.request().kind().repeatable()) {
            report("ran twice", observed, runs);
        }
        if (answer.complete() && answer.status() == 200 && !answer.whole()) {
            report("looks complete and is not", observed, runs);
        }
        List<Integer> events = answer.status() == 200 ? answer.events() : List.of();
        if (!events.equals(IntStream.rangeClosed(1, events.size()).boxed().toList())) {
            report("events out of order", observed, runs);
        }
        boolean read = !runs.isEmpty() || answer.endNanos() - answer.sentNanos() > CROSSING_NANOS;
        if (!answer.complete() && read && !mayBeCut(observed, runs)) {
            String ran = runs.isEmpty() ? "before an upstream ran it" : "while an upstream ran it";
            report("cut without an answer " + ran, observed, runs);
        }
    }

    private boolean mayBeCut(Observed observed, List<RecordingUpstream.Run> runs) {
        return runs.stream().anyMatch(RecordingUpstream.Run::broken)
                || wasStillAtWork(observed, runs)
                || crashed(observed);
    }

    /** Returns whether the instance was killed after it was sent the request. */
    private static boolean crashed(Observed observed) {
        return observed.entry().crashes().stream()
                .anyMatch(
                        killed ->
                                observed.answer().sentNanos() - killed <= CROSSING_NANOS
                                        && observed.answer().endNanos() - killed >= 0);
    }

    private boolean wasStillAtWork(Observed observed, List<RecordingUpstream.Run> runs) {
        return observed.entry().terminations().stream()
                .anyMatch(
                        asked ->
                                observed.answer().sentNanos() - asked <= ADMITTED_NANOS
                                        && observed.answer().endNanos() - asked > 0
                                        && runs.stream().anyMatch(run -> ranToTheEnd(run, asked)));
    }

    /** Returns whether an upstream was at work in the last sixth of the grace period. */
    private boolean ranToTheEnd(RecordingUpstream.Run run, long askedNanos) {
        return run.endNanos() - askedNanos >= mGraceNanos * 5 / 6;
    }

    private void report(String what, Observed observed, List<RecordingUpstream.Run> runs) {
        KeptConnection.Answer answer = observed.answer();
        List<Long> terminations = observed.entry().terminations();
        String since =
                terminations.stream()
                        .filter(asked -> answer.endNanos() - asked > 0)
                        .reduce((first, second) -> second)
                        .map(
                                asked ->
                                        "sent %d ms and ended %d ms after SIGTERM"
                                                .formatted(
                                                        millis(answer.sentNanos() - asked),
                                                        millis(answer.endNanos() - asked)))
                        .orElse("no SIGTERM before");
        mViolations.add(
                "%s: %s status=%d body=%d at %s, %s, runs=%s"
                        .formatted(
                                what,
                                answer.request(),
                                answer.status(),
                                answer.body().length(),
                                observed.entry().name(),
                                since,
                                runs));
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
