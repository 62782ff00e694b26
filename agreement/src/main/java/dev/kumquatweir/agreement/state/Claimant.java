package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;

/**
 * Who may send a request that may not be repeated. Immutable.
 *
 * @param requestId the request that would be executed
 * @param instance the instance that holds it
 * @param incarnation incarnation of that instance, from {@link StateResult.InstanceStarted}
 */
public record Claimant(RequestId requestId, InstanceId instance, long incarnation) {}
