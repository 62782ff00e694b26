package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.routing.UpstreamStatus;

/**
 * Upstream status with its age.
 *
 * @param status status of the upstream
 * @param ageMillis time since the status was received from the upstream
 */
record AgedUpstreamStatus(UpstreamStatus status, long ageMillis) {}
