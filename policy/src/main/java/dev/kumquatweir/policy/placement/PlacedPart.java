package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import java.util.Optional;

/**
 * The share of one placement that one upstream processes. Owned by {@link PlacementUpstream}; not
 * thread-safe.
 */
final class PlacedPart {
    private final PlacementRequest mRequest;
    private final boolean mPrimary;
    private final double mPrefillMillis;
    private final long mMemoryTokens;
    private final long mGrantedNanos;
    private final long mFirstEventNanos;
    private boolean mAnswerStarted;
    private long mStartedNanos;
    private boolean mLate;
    private long mEventCount;
    private long mPromptTokens;

    /**
     * @param request the request
     * @param primary whether the upstream generates the answer; otherwise it only prefills or
     *     stores a part
     * @param prefillMillis estimated prefill time of the part
     * @param memoryTokens KV cache tokens that it occupies
     * @param grantedNanos time of the placement
     * @param firstEventNanos expected time of the first event
     */
    PlacedPart(
            PlacementRequest request,
            boolean primary,
            double prefillMillis,
            long memoryTokens,
            long grantedNanos,
            long firstEventNanos) {
        mRequest = request;
        mPrimary = primary;
        mPrefillMillis = prefillMillis;
        mMemoryTokens = memoryTokens;
        mGrantedNanos = grantedNanos;
        mFirstEventNanos = firstEventNanos;
    }

    /** Returns the part of a request that another scheduler has placed on one upstream. */
    static PlacedPart running(
            PlacementRequest request,
            Optional<EngineCost> cost,
            boolean started,
            long grantedNanos,
            long nowNanos) {
        double prefill =
                cost.map(model -> started ? 0 : model.prefillMillis(request.promptTokens()) / 2)
                        .orElse(0.0);
        PlacedPart part =
                new PlacedPart(
                        request, true, prefill, request.memoryTokens(), grantedNanos, grantedNanos);
        part.markLate();
        if (started) {
            part.start(nowNanos);
        }
        return part;
    }

    /**
     * Returns the part of the same request on a helper, whose prefill is not estimated.
     *
     * @param reservedTokens tokens that the helper stores until the end
     * @param partCount number of engines that share the prompt
     */
    PlacedPart helping(long reservedTokens, int partCount, long nowNanos) {
        PlacedPart part =
                new PlacedPart(mRequest, false, 0, reservedTokens, mGrantedNanos, mGrantedNanos)
                        .withPromptTokens(mRequest.promptTokens() / partCount);
        part.markLate();
        if (mAnswerStarted) {
            part.start(nowNanos);
        }
        return part;
    }

    PlacementRequest request() {
        return mRequest;
    }

    boolean primary() {
        return mPrimary;
    }

    double prefillMillis() {
        return mPrefillMillis;
    }

    long memoryTokens() {
        return mMemoryTokens;
    }

    /** Returns the prompt tokens that a helper prefills and holds until the answer starts. */
    long promptTokens() {
        return mPromptTokens;
    }

    PlacedPart withPromptTokens(long tokens) {
        mPromptTokens = tokens;
        return this;
    }

    long grantedNanos() {
        return mGrantedNanos;
    }

    long firstEventNanos() {
        return mFirstEventNanos;
    }

    boolean started() {
        return mAnswerStarted;
    }

    void start(long nowNanos) {
        mAnswerStarted = true;
        mStartedNanos = nowNanos;
    }

    /** Returns the time of the first event; valid if the answer has started. */
    long startedNanos() {
        return mStartedNanos;
    }

    /** Returns whether the answer is already late, so that a further delay loses no value. */
    boolean late() {
        return mLate;
    }

    void markLate() {
        mLate = true;
    }

    /** Returns how many events the upstream sent, 0 until that is known at the end. */
    long eventCount() {
        return mEventCount;
    }

    void recordEventCount(long events) {
        mEventCount = events;
    }
}
