package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.http.BodyMemory;

/**
 * Dependencies of the {@link CallerServer}.
 *
 * @param configuration current configuration
 * @param claims grants claims for requests that are not repeatable
 * @param dispatch runs admitted requests
 * @param health readiness and metrics
 * @param bodyMemory shared by the bodies of the requests that have not ended
 */
public record CallerPorts(
        ConfigurationPort configuration,
        ClaimPort claims,
        DispatchDuty dispatch,
        CallerHealth health,
        BodyMemory bodyMemory) {}
