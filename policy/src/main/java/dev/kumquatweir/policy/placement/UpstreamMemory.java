package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.policy.memory.forecast.HeldRequest;
import dev.kumquatweir.policy.memory.forecast.MemoryForecast;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Forecast of the memory of one upstream, and the part of that memory that this scheduler may use.
 * Owned by {@link PlacementUpstream}; not thread-safe.
 */
final class UpstreamMemory {
    /**
     * Time in which entry instances report to a new leader what they run: they notice it within the
     * time after which they would schedule alone.
     */
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /**
     * Share of the memory used meanwhile. It is enough for one short request, and answers rarely
     * need the whole margin that the former leader kept for them. A ramp from 0 to the whole memory
     * over the same time let two engines in 50 replays crash, since long prompts were placed beside
     * others that were not reported yet.
     */
    private static final double UNREPORTED_SHARE = 0.125;

    /**
     * Time for which an engine may hold the memory of a request whose connection was closed: it
     * notices that when it sends the next event, after one or a few passes.
     */
    private static final long CLOSING_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Memory that is released within this time counts as free soon: a few decoding passes. */
    private static final double SOON_MILLIS = 500;

    private final MemoryModel mModel;
    private final MemoryForecast mForecast;
    private final Map<PlacementKey, HeldRequest> mHeld = new HashMap<>();
    private final Deque<Closing> mClosing = new ArrayDeque<>();
    private double mShare = 1;
    private OptionalLong mTakeoverNanos = OptionalLong.empty();

    private record Closing(HeldRequest held, long untilNanos) {}

    UpstreamMemory(MemoryModel model) {
        mModel = model;
        mForecast = model.forEngine();
    }

    // Placements.

    void add(PlacedPart part, long nowNanos) {
        if (part.request().promptTokens() > 0) {
            HeldRequest held = mModel.held(part);
            mHeld.put(part.request().key(), held);
            mForecast.add(held);
            if (part.started()) {
                mForecast.started(held, nowNanos);
            }
        }
    }

    void started(PlacedPart part, long nowNanos) {
        HeldRequest held = mHeld.get(part.request().key());
        if (held != null) {
            mForecast.started(held, nowNanos);
        }
    }

    void remove(PlacedPart part) {
        HeldRequest held = mHeld.remove(part.request().key());
        if (held != null) {
            mForecast.remove(held);
        }
    }

    /** Keeps the memory of a part for a while that ends without a complete answer. */
    void close(PlacedPart part, long nowNanos) {
        HeldRequest held = mHeld.remove(part.request().key());
        if (held != null) {
            mClosing.add(new Closing(held, nowNanos + CLOSING_NANOS));
        }
    }

    void answered(PlacedPart part, EngineCost cost) {
        mModel.answered(part, cost);
    }

    // Shares.

    /** Sets the share of the memory that this scheduler may use beside others, 0 to 1. */
    void setShare(double share) {
        mShare = share;
    }

    /**
     * Records that another scheduler has placed requests here that have not been reported yet.
     * Until they are, only a small part of the memory is used.
     */
    void beginTakeover(long nowNanos) {
        mTakeoverNanos = OptionalLong.of(nowNanos);
    }

    /** Records that the upstream has started anew and holds only what is placed from now on. */
    void restarted() {
        mTakeoverNanos = OptionalLong.empty();
        mClosing.forEach(closing -> mForecast.remove(closing.held()));
        mClosing.clear();
    }

    /** Returns the tokens that the requests of this scheduler may hold here. */
    double usableTokens(EngineCost cost, long nowNanos) {
        return (awaitsReports(nowNanos) ? UNREPORTED_SHARE : 1) * mShare * cost.kvCacheTokens();
    }

    private boolean awaitsReports(long nowNanos) {
        return mTakeoverNanos.isPresent() && nowNanos - mTakeoverNanos.getAsLong() < REPORT_NANOS;
    }

    // Forecasts.

    /** Considers the output generated so far by a number of running answers. */
    void update(EngineCost cost, int decodingCount, long nowNanos) {
        while (!mClosing.isEmpty() && mClosing.getFirst().untilNanos() - nowNanos <= 0) {
            mForecast.remove(mClosing.removeFirst().held());
        }
        double passMillis = cost.decodePassMillis(Math.max(1, decodingCount), 0);
        mForecast.update(cost.stepsPerPass() / passMillis, nowNanos);
    }

    /** Returns the tokens missing for all of a request, negative if there are more than needed. */
    double missingTokens(PlacementRequest request, EngineCost cost, long nowNanos) {
        return mForecast.tokensWith(mModel.candidate(request)) - usableTokens(cost, nowNanos);
    }

    /**
     * Returns the tokens that may be held here for answers of other engines, at least 0. None until
     * reports have arrived: parts of long prompts would fill the small share that is usable then.
     */
    double helperTokens(EngineCost cost, long nowNanos) {
        return awaitsReports(nowNanos)
                ? 0
                : Math.max(0, usableTokens(cost, nowNanos) - mForecast.tokens());
    }

    void countPassedOver() {
        mModel.countPassedOver();
    }

    /** Returns the share of the memory that its requests hold at most, at the confidence. */
    double usedShare(EngineCost cost) {
        return mForecast.tokens() / cost.kvCacheTokens();
    }

    /**
     * Returns how short the memory will be with a further request, 0 to 1. Memory that is released
     * soon counts half.
     */
    double tightness(PlacementRequest request, EngineCost cost) {
        double capacity = cost.kvCacheTokens();
        double used = mForecast.tokensWith(mModel.candidate(request)) / capacity;
        if (used <= MemoryUse.TIGHT_SHARE) {
            return 0;
        }
        double lasting = used - mForecast.releasedWithin(SOON_MILLIS) / capacity / 2;
        return Math.max(
                0, Math.min(1, (lasting - MemoryUse.TIGHT_SHARE) / (1 - MemoryUse.TIGHT_SHARE)));
    }
}
