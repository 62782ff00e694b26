package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.LeasedConfiguration;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.IdempotencyKey;
import java.util.Optional;

/**
 * Decides what a caller is told when its request is refused before a claim on it is decided. Such a
 * refusal may rest on a configuration that is no longer or not yet in force, and says nothing about
 * earlier requests with the same idempotency key. Holds no state.
 */
final class EarlyRefusal {
    private EarlyRefusal() {}

    /**
     * Returns the failure to answer with.
     *
     * @param reason why the request is refused
     * @param key idempotency key of the request
     * @param configuration configuration that the reason rests on
     * @param nowNanos present monotonic time
     */
    static RequestFailure decide(
            RequestFailure reason,
            Optional<IdempotencyKey> key,
            LeasedConfiguration configuration,
            long nowNanos) {
        // Without a lease a newer configuration may have what is missing in this one, and an
        // instance has an empty one until its first lease.
        RequestFailure confirmed =
                dependsOnConfiguration(reason) && !configuration.inForce(nowNanos)
                        ? new RequestFailure.NoConfigurationLease()
                        : reason;
        return key.isPresent() && mayHaveBeenValid(confirmed)
                ? new RequestFailure.RefusedBeforeClaim(confirmed)
                : confirmed;
    }

    private static boolean dependsOnConfiguration(RequestFailure reason) {
        return switch (reason) {
            case RequestFailure.NotAuthenticated _,
                    RequestFailure.UnknownName _,
                    RequestFailure.IdempotencyKeyMissing _ ->
                    true;
            default -> false;
        };
    }

    /**
     * Returns whether an earlier request with the same content may have been sent. One that can't
     * be parsed is never sent; all other reasons may have come up later.
     */
    private static boolean mayHaveBeenValid(RequestFailure reason) {
        return !(reason instanceof RequestFailure.Malformed);
    }
}
