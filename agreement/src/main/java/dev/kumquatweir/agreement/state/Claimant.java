package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;

/**
 * A request that claims an idempotency key, and the process that executes it. Immutable.
 *
 * @param requestId id of the request
 * @param instance instance that received the request
 * @param incarnation incarnation of that instance, from {@link StateResult.InstanceStarted}
 */
public record Claimant(RequestId requestId, InstanceId instance, long incarnation) {}
