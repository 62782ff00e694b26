package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.gateway.http.ResponseFraming;
import java.util.Set;

/** Decides what the head of an upstream's response proves about a request. Holds no state. */
final class ResponseEvidence {
    /** What a response proves. */
    enum Verdict {
        /** The response belongs to the request, which the upstream has executed or executes. */
        EXECUTED,
        /** The response belongs to the request, which the upstream has not and will not execute. */
        NOT_EXECUTED,
        /** The upstream may have executed the request; the response must not be passed on. */
        UNPROVEN
    }

    /** Callers take each of these for a guarantee that the request was not executed. */
    private static final Set<Integer> STATUSES_NOT_EXECUTED = Set.of(408, 421, 429, 503);

    /** Interim responses, which have lower statuses, are handled by the library. */
    private static final int LOWEST_FINAL_STATUS = 200;

    private ResponseEvidence() {}

    /**
     * Returns whether a request needs a connection that has carried nothing else.
     *
     * @param atMostOnce whether the request may be executed once only
     * @param sentBefore whether it has been sent to this upstream before, so that a repeated
     *     response to that send has the same id
     */
    static boolean needsNewConnection(String requestId, boolean atMostOnce, boolean sentBefore) {
        return atMostOnce || sentBefore || requestId.isEmpty();
    }

    /**
     * Returns what a response proves about the request that was sent last on its connection.
     *
     * @param connectionReused whether the connection has carried an earlier request
     */
    static Verdict of(UpstreamResponseHead head, String requestId, boolean connectionReused) {
        // Each upstream names the request in a success; a refusal of bytes that it could not read
        // may not.
        boolean own =
                head.requestId()
                        .map(id -> id.equals(requestId))
                        .orElse(!connectionReused && !head.success());
        boolean valid =
                head.status() >= LOWEST_FINAL_STATUS
                        && head.status() <= ResponseFraming.HIGHEST_STATUS;
        if (!own || !valid) {
            return Verdict.UNPROVEN;
        }
        if (head.notExecuted()) {
            return Verdict.NOT_EXECUTED;
        }
        return STATUSES_NOT_EXECUTED.contains(head.status()) ? Verdict.UNPROVEN : Verdict.EXECUTED;
    }
}
