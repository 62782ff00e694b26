package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.policy.placement.CrashEvent;

/** Logs what a scheduler concluded from crashes of upstreams. Holds no state. */
final class CrashEventLog {
    private static final EventLog LOG = EventLog.of(CrashEventLog.class);

    private CrashEventLog() {}

    static void log(CrashEvent event) {
        switch (event) {
            case CrashEvent.Suspects suspects ->
                    LOG.info(
                            "upstream_crash_suspects",
                            "request",
                            suspects.requestId(),
                            "upstream",
                            suspects.upstream(),
                            "strikes",
                            suspects.strikes());
            case CrashEvent.Refuted refuted ->
                    LOG.info(
                            "upstream_crash_refuted",
                            "upstream",
                            refuted.upstream(),
                            "parts",
                            refuted.parts());
            case CrashEvent.Quarantined quarantined ->
                    LOG.warn(
                            "part_quarantined",
                            "part",
                            quarantined.part(),
                            "strikes",
                            quarantined.strikes(),
                            "upstreams",
                            quarantined.upstreams());
            case CrashEvent.Cleared cleared -> LOG.info("part_cleared", "part", cleared.part());
        }
    }
}
