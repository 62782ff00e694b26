package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.policy.placement.LimitNotice;
import java.util.Optional;

/**
 * Status and headers of an upstream's response, decoded by {@link RequestDialect}. Immutable.
 *
 * @param status HTTP status
 * @param requestId id of the request that the response belongs to, if it names one
 * @param notExecuted whether the upstream guarantees that it has not executed the request
 * @param misdirected whether the address now belongs to another upstream
 * @param culprit address of the upstream at fault, empty if the response names none
 * @param leaving whether the upstream says that it leaves
 * @param pauseMillis time for which the upstream wants no requests from this instance, 0 if it
 *     names none
 * @param limit what the upstream says about the requests that it takes from all instances together
 */
public record UpstreamResponseHead(
        int status,
        Optional<String> requestId,
        boolean notExecuted,
        boolean misdirected,
        String culprit,
        boolean leaving,
        long pauseMillis,
        LimitNotice limit) {

    /** Returns whether the status is 2xx. */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
