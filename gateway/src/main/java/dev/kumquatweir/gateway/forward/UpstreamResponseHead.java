package dev.kumquatweir.gateway.forward;

import java.util.Optional;

/**
 * What the head of an upstream's answer says. Immutable.
 *
 * @param status HTTP status
 * @param requestId id of the request that it answers, if it names one
 * @param notExecuted whether the upstream promises that the request has not run there
 * @param misdirected whether another upstream has the address
 * @param culprit address of the upstream at fault, empty if it names none
 */
public record UpstreamResponseHead(
        int status,
        Optional<String> requestId,
        boolean notExecuted,
        boolean misdirected,
        String culprit) {

    /** Returns whether the upstream succeeded. */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
