package dev.kumquatweir.policy.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Counts sends within a sliding window in short spans, so that its size is bounded and can be sent
 * to another instance. Retries are kept somewhat longer than the window, since they arrive at
 * upstreams later than they are counted. Not thread-safe.
 */
final class SlidingCounts {
    private static final int SPANS = 50;
    private static final double RETRY_RETENTION = 1.1;

    private final long mWindowNanos;
    private final long mSpanNanos;
    private final Deque<Span> mSpans = new ArrayDeque<>();

    private static final class Span {
        private final long mStartNanos;
        private int mFirstSends;
        private int mRetries;

        Span(long startNanos) {
            mStartNanos = startNanos;
        }
    }

    SlidingCounts(long windowMillis) {
        mWindowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
        mSpanNanos = Math.max(1, mWindowNanos / SPANS);
    }

    /** Returns how long the retries of a window are kept. */
    static long retentionNanos(long windowMillis) {
        return (long) (RETRY_RETENTION * TimeUnit.MILLISECONDS.toNanos(windowMillis));
    }

    void add(boolean retry, long nowNanos) {
        Span last = mSpans.peekLast();
        if (last == null || nowNanos - last.mStartNanos >= mSpanNanos) {
            last = new Span(nowNanos);
            mSpans.addLast(last);
        }
        if (retry) {
            last.mRetries++;
        } else {
            last.mFirstSends++;
        }
        removeExpired(nowNanos);
    }

    /** Adds a span, which must be later than those added before. */
    void add(SentCount count, long nowNanos) {
        Span span = new Span(nowNanos - TimeUnit.MILLISECONDS.toNanos(count.ageMillis()));
        span.mFirstSends = count.firstSends();
        span.mRetries = count.retries();
        mSpans.addLast(span);
    }

    int firstSends(long nowNanos) {
        return mSpans.stream()
                .filter(span -> nowNanos - span.mStartNanos <= mWindowNanos)
                .mapToInt(span -> span.mFirstSends)
                .sum();
    }

    int retries(long nowNanos) {
        removeExpired(nowNanos);
        return mSpans.stream().mapToInt(span -> span.mRetries).sum();
    }

    /** Returns all spans, the oldest first. */
    List<SentCount> spans(long nowNanos) {
        removeExpired(nowNanos);
        return mSpans.stream()
                .map(
                        span ->
                                new SentCount(
                                        TimeUnit.NANOSECONDS.toMillis(nowNanos - span.mStartNanos),
                                        span.mFirstSends,
                                        span.mRetries))
                .toList();
    }

    private void removeExpired(long nowNanos) {
        long retentionNanos =
                retentionNanos(TimeUnit.NANOSECONDS.toMillis(mWindowNanos)) + mSpanNanos;
        for (Span first = mSpans.peekFirst();
                first != null && nowNanos - first.mStartNanos > retentionNanos;
                first = mSpans.peekFirst()) {
            mSpans.removeFirst();
        }
    }
}
