package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.routing.UpstreamStatus;

/**
 * A notice and how long ago it was heard.
 *
 * @param status the notice
 * @param ageMillis time since it was heard
 */
record AgedUpstreamStatus(UpstreamStatus status, long ageMillis) {}
