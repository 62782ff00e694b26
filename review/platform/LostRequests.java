package review;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Counts the requests that rule LOST forbids at any time. */
final class LostRequests {
    /** The rule is broken by more than three. */
    private static final int ALLOWED = 3;

    private LostRequests() {}

    /**
     * Judges the requests from kept channels that reached a sound worker and whose channel was
     * closed without an answer.
     */
    static int judge(Clients clients, Collection<Worker> sound, Journal journal) {
        Set<String> reached =
                sound.stream()
                        .flatMap(worker -> worker.arrivals.stream())
                        .map(Worker.Arrival::attemptId)
                        .collect(Collectors.toSet());
        List<Clients.Outcome> lost =
                clients.outcomes.stream()
                        .filter(outcome -> outcome.status() == 0 && outcome.kept())
                        .filter(outcome -> reached.contains(outcome.attemptId()))
                        .toList();
        lost.forEach(outcome -> journal.add("lost " + outcome));
        journal.add(
                "requests %d, answered 200 %d, lost at sound workers %d"
                        .formatted(clients.outcomes.size(), clients.count(200), lost.size()));
        return clients.count(200) == 0
                ? Case.NOT_RUN
                : lost.size() > ALLOWED ? Case.BROKEN : Case.HELD;
    }
}
