package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;

/**
 * What the caller server builds on.
 *
 * @param configuration configuration in force
 * @param claims decides claims on requests that may not be repeated
 * @param dispatch runs admitted requests
 * @param health readiness and metrics
 */
public record CallerPorts(
        ConfigurationPort configuration,
        ClaimPort claims,
        DispatchDuty dispatch,
        CallerHealth health) {}
