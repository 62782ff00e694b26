package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.RequestId;

/**
 * An event of an attempt or of a caller, reported by the driver of a {@link Dispatcher}. Events of
 * attempts that are no longer current are ignored.
 */
public sealed interface AttemptEvent {
    /**
     * Why an attempt was refused. For each reason it is certain that the attempt did not execute.
     */
    enum RefusalReason {
        /** The connection was refused. */
        CONNECTION_REFUSED,
        /** The engine has too little KV cache memory for the attempt. */
        MEMORY_FULL,
        /** The upstream is in cold start and has reached its cold limit. */
        COLD_LIMIT,
        /** The upstream has not loaded the model. */
        UNKNOWN_MODEL,
        /** The upstream is draining or refuses all work for another reason. */
        DRAINING,
        /** The check immediately before sending did not permit the attempt. */
        NOT_SENT
    }

    /** Why an attempt broke off after it may have started to execute. */
    enum BreakCause {
        /** The connection was closed or reset. */
        CONNECTION_LOST,
        /** No data arrived within the time limit for a token. */
        SILENT,
        /** The upstream answered with an error after it had started the attempt. */
        UPSTREAM_ERROR,
        /** The upstream has crashed or restarted. */
        UPSTREAM_GONE
    }

    /**
     * The upstream accepted the attempt.
     *
     * @param attempt the attempt
     */
    record Accepted(AttemptId attempt) implements AttemptEvent {}

    /**
     * Tokens arrived.
     *
     * @param attempt the attempt
     * @param tokens total tokens delivered to the caller, including those of earlier attempts
     */
    record Progress(AttemptId attempt, long tokens) implements AttemptEvent {}

    /**
     * The attempt was refused and did not execute.
     *
     * @param attempt the attempt
     * @param reason why it was refused
     */
    record Refused(AttemptId attempt, RefusalReason reason) implements AttemptEvent {}

    /**
     * The attempt broke off; it may have executed in part.
     *
     * @param attempt the attempt
     * @param cause why it broke off
     */
    record Broken(AttemptId attempt, BreakCause cause) implements AttemptEvent {}

    /**
     * The answer is complete.
     *
     * @param attempt the attempt
     * @param outputTokens tokens of the complete answer
     * @param cachedTokens prompt tokens that the engine found in its prefix cache
     */
    record Finished(AttemptId attempt, long outputTokens, long cachedTokens)
            implements AttemptEvent {}

    /**
     * The caller closed its connection; the request is cancelled.
     *
     * @param request the request
     */
    record CallerDisconnected(RequestId request) implements AttemptEvent {}
}
