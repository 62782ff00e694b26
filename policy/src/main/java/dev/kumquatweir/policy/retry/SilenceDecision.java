package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/** What the silence of a connection means. Implementations are immutable. */
public sealed interface SilenceDecision {
    /**
     * Close the connection, treat its attempts as broken by silence and fence them.
     *
     * @param upstream the upstream
     * @param connection number of the connection
     * @param attempts the attempts on it
     * @param causedBySibling true if it is closed because of the silence of another connection
     */
    record DropConnection(
            UpstreamId upstream, long connection, List<AttemptId> attempts, boolean causedBySibling)
            implements SilenceDecision {
        /** Copies the list, so that the record is immutable. */
        public DropConnection {
            attempts = List.copyOf(attempts);
        }
    }

    /**
     * One attempt is silent while others on its connection are answered: cancel it and treat it as
     * broken by silence.
     *
     * @param upstream the upstream
     * @param attempt the attempt
     */
    record DropAttempt(UpstreamId upstream, AttemptId attempt) implements SilenceDecision {}

    /**
     * The attempt is in prefill on a connection next to a silent one. It goes on, with less
     * patience; use its connection for nothing new.
     *
     * @param upstream the upstream
     * @param connection number of the connection
     * @param attempt the attempt
     */
    record SuspectAttempt(UpstreamId upstream, long connection, AttemptId attempt)
            implements SilenceDecision {}
}
