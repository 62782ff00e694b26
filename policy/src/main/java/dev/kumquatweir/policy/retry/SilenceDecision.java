package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/**
 * How to handle attempts whose connection received no data for too long. Implementations are
 * immutable.
 */
public sealed interface SilenceDecision {
    /**
     * Close the connection, fence its attempts and treat them as broken by silence.
     *
     * @param upstream the upstream
     * @param connection number of the connection
     * @param attempts attempts on the connection
     * @param causedBySibling whether it is closed because another connection to the upstream is
     *     silent
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
     * Cancel the attempt and treat it as broken by silence. Other attempts on its connection still
     * receive data.
     *
     * @param upstream the upstream
     * @param attempt the attempt
     */
    record DropAttempt(UpstreamId upstream, AttemptId attempt) implements SilenceDecision {}

    /**
     * Continue the attempt with a shorter time limit, and start nothing new on its connection. The
     * attempt is in prefill, and another connection to the upstream is silent.
     *
     * @param upstream the upstream
     * @param connection number of the connection
     * @param attempt the attempt
     */
    record SuspectAttempt(UpstreamId upstream, long connection, AttemptId attempt)
            implements SilenceDecision {}
}
