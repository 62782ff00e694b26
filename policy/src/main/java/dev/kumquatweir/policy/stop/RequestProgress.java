package dev.kumquatweir.policy.stop;

/** How far a request has come when a planned stop of its instance decides on it. */
public sealed interface RequestProgress {
    /**
     * No upstream has received the request.
     *
     * @param arrivedNanos when it arrived
     * @param expectedNanos expected time from now to the complete answer
     * @param latestNanos time from now to its final answer at the latest
     */
    record Waiting(long arrivedNanos, long expectedNanos, long latestNanos)
            implements RequestProgress {}

    /**
     * The request has lost its upstream and waits for another one.
     *
     * @param expectedNanos expected time from now to the complete answer
     * @param answering whether the caller has received a part of the answer
     */
    record WaitingAgain(long expectedNanos, boolean answering) implements RequestProgress {}

    /** An upstream may have executed the request; its caller has received nothing. */
    record Sent() implements RequestProgress {}

    /** The caller has received a part of the answer. */
    record Answering() implements RequestProgress {}
}
