package dev.kumquatweir.transport;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The requests of one connection that have no answer yet, with their deadlines. Used by one thread.
 */
final class PendingRequests {
    // Monotonic times are compared by difference, since their origin is arbitrary.
    private static final Comparator<PendingRequest> BY_DEADLINE =
            (first, second) -> {
                long difference = first.deadlineNanos() - second.deadlineNanos();
                return difference != 0
                        ? Long.signum(difference)
                        : Long.compare(first.correlation(), second.correlation());
            };

    private final Map<Long, PendingRequest> mByCorrelation = new HashMap<>();
    private final TreeSet<PendingRequest> mByDeadline = new TreeSet<>(BY_DEADLINE);

    void add(PendingRequest request) {
        mByCorrelation.put(request.correlation(), request);
        mByDeadline.add(request);
    }

    /** Removes a request; none if it has ended or never existed. */
    Option<PendingRequest> take(long correlation) {
        PendingRequest request = mByCorrelation.remove(correlation);
        if (request != null) {
            mByDeadline.remove(request);
        }
        return Option.of(request);
    }

    /** Removes the requests whose deadline has come. */
    List<PendingRequest> takeExpired(long nowNanos) {
        List<PendingRequest> expired = new ArrayList<>();
        while (!mByDeadline.isEmpty() && mByDeadline.first().deadlineNanos() - nowNanos <= 0) {
            PendingRequest request = mByDeadline.removeFirst();
            mByCorrelation.remove(request.correlation());
            expired.add(request);
        }
        return expired;
    }

    /** Removes all requests. */
    List<PendingRequest> takeAll() {
        List<PendingRequest> all = List.copyOf(mByDeadline);
        mByDeadline.clear();
        mByCorrelation.clear();
        return all;
    }

    /** Returns how long to wait for the next deadline; the largest number if there is none. */
    long waitNanos(long nowNanos) {
        return mByDeadline.isEmpty()
                ? Long.MAX_VALUE
                : mByDeadline.first().deadlineNanos() - nowNanos;
    }

    int size() {
        return mByCorrelation.size();
    }
}
