package dev.kumquatweir.gateway.forward;

/**
 * Decides which events of the attempts of one stream are forwarded, so that no event comes twice or
 * at an unknown place. An event without an id belongs after the last event of its attempt that has
 * one. Not thread-safe.
 */
final class EventSequence {
    /** What to do with an event. */
    enum Decision {
        /** Forward the event. */
        FORWARD,
        /** Skip the event, because the caller has it. */
        SKIP,
        /** Give up the attempt, because the place of the event isn't known. */
        REJECT
    }

    private long mLastId;
    private long mAttemptId = EventStreamSplitter.NO_ID;
    private boolean mResumed;

    /** Whether an event without an id was forwarded after the last one with an id. */
    private boolean mUnnumbered;

    /**
     * @param lastId id of the last event that the caller has, negative if it has none
     */
    EventSequence(long lastId) {
        mLastId = lastId;
    }

    /** Returns the id of the last event that the caller has, negative if it has none. */
    long lastId() {
        return mLastId;
    }

    /**
     * Starts the events of another attempt.
     *
     * @param streamStarted whether a part of the stream was forwarded from an earlier attempt
     */
    void startAttempt(boolean streamStarted) {
        mAttemptId = EventStreamSplitter.NO_ID;
        mResumed = streamStarted && mLastId >= 0;
    }

    /** Decides on the next event of the current attempt. */
    Decision next(EventStreamSplitter.Event event) {
        if (event.id() != EventStreamSplitter.NO_ID) {
            mAttemptId = Math.max(mAttemptId, event.id());
            if (event.id() <= mLastId) {
                return Decision.SKIP;
            }
            mLastId = event.id();
            mUnnumbered = false;
            return Decision.FORWARD;
        }
        if (!event.hasData()) {
            return Decision.FORWARD;
        }
        if (mResumed && mAttemptId == EventStreamSplitter.NO_ID) {
            return Decision.REJECT;
        }
        if (endsEarly()) {
            return Decision.SKIP;
        }
        mUnnumbered = true;
        return Decision.FORWARD;
    }

    /** Returns whether the current attempt has not come as far as the caller's last event. */
    boolean endsEarly() {
        return mAttemptId != EventStreamSplitter.NO_ID && mAttemptId < mLastId;
    }

    /** Returns whether another attempt can go on exactly after the last forwarded event. */
    boolean canResume() {
        return !mUnnumbered;
    }
}
