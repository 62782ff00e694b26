package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.EngineLoad;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Remembers the load of the last time, so that reports can lag. Thread-safe. */
final class LoadHistory {
    private static final long SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private long mLagNanos;

    private record Entry(long nanos, EngineLoad load) {}

    LoadHistory(long lagMillis) {
        mLagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
    }

    synchronized void setLag(long lagMillis) {
        mLagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
    }

    synchronized boolean due(long nowNanos) {
        return mEntries.isEmpty() || nowNanos - mEntries.getLast().nanos() >= SPACING_NANOS;
    }

    synchronized void add(EngineLoad load, long nowNanos) {
        mEntries.add(new Entry(nowNanos, load));
        while (mEntries.size() > 1 && secondIsOldEnough(nowNanos)) {
            mEntries.removeFirst();
        }
    }

    /** Forgets the load of an engine that has crashed. */
    synchronized void clear() {
        mEntries.clear();
    }

    /** Returns the newest load without a lag, if there is one. */
    synchronized Optional<EngineLoad> newest() {
        return Optional.ofNullable(mEntries.peekLast()).map(Entry::load);
    }

    /** Returns the load as it was one lag ago, or the oldest known. */
    synchronized EngineLoad lagging(long nowNanos) {
        EngineLoad lagging = new EngineLoad(0, 0, 0, 0, false);
        boolean first = true;
        for (Entry entry : mEntries) {
            if (first || nowNanos - entry.nanos() >= mLagNanos) {
                lagging = entry.load();
                first = false;
            }
        }
        return lagging;
    }

    private boolean secondIsOldEnough(long nowNanos) {
        return mEntries.stream()
                .skip(1)
                .findFirst()
                .map(entry -> nowNanos - entry.nanos() >= mLagNanos)
                .orElse(false);
    }
}
