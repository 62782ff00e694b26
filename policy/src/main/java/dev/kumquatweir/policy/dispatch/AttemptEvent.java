package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.RequestId;

/**
 * What a driver saw of an attempt or of a caller. Events of attempts no longer current are ignored.
 */
public sealed interface AttemptEvent {
    /** Why an upstream did not take an attempt. In each case it is proved that it did not run. */
    enum RefusalReason {
        /** The connection was refused. */
        CONNECTION_REFUSED,
        /** The engine has no memory for it. */
        MEMORY_FULL,
        /** The upstream is cold and bears no more. */
        COLD_LIMIT,
        /** The model is not loaded there. */
        UNKNOWN_MODEL,
        /** The upstream is leaving or otherwise refuses all work. */
        DRAINING,
        /** The check at the moment of sending forbade it. */
        NOT_SENT
    }

    /** How an attempt broke off after it may have started to run. */
    enum BreakCause {
        /** The connection was closed or reset. */
        CONNECTION_LOST,
        /** Nothing arrived for longer than a token may take. */
        SILENT,
        /** The upstream answered with an error after it had started. */
        UPSTREAM_ERROR,
        /** The upstream is known to have died or restarted. */
        UPSTREAM_GONE
    }

    /**
     * The upstream has taken the attempt.
     *
     * @param attempt the attempt
     */
    record Accepted(AttemptId attempt) implements AttemptEvent {}

    /**
     * Tokens arrived.
     *
     * @param attempt the attempt
     * @param tokens all tokens that the caller has now, resumed ones included
     */
    record Progress(AttemptId attempt, long tokens) implements AttemptEvent {}

    /**
     * The upstream did not take the attempt, and it did not run.
     *
     * @param attempt the attempt
     * @param reason why
     */
    record Refused(AttemptId attempt, RefusalReason reason) implements AttemptEvent {}

    /**
     * The attempt broke off; it may have run in part.
     *
     * @param attempt the attempt
     * @param cause what was seen
     */
    record Broken(AttemptId attempt, BreakCause cause) implements AttemptEvent {}

    /**
     * The answer is whole.
     *
     * @param attempt the attempt
     * @param outputTokens tokens of the whole answer
     * @param cachedTokens prompt tokens that the engine had cached
     */
    record Finished(AttemptId attempt, long outputTokens, long cachedTokens)
            implements AttemptEvent {}

    /**
     * The caller closed its connection and the work is to be cancelled.
     *
     * @param request the request
     */
    record CallerDisconnected(RequestId request) implements AttemptEvent {}
}
