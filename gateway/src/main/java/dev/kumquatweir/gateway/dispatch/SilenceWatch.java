package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.retry.SilenceDecision;
import dev.kumquatweir.policy.retry.SilenceDetector;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Feeds the silence detector with what the connections of running generations have received. Tokens
 * arrive on I/O threads; here they are sampled once for each check, which only makes the learned
 * gaps larger. Not thread-safe: owned by the dispatch duty.
 */
final class SilenceWatch {
    private static final EventLog LOG = EventLog.of(SilenceWatch.class);

    /** A longer time between two checks means that this process was stopped or starved. */
    private static final long LONGEST_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final SilenceDetector mDetector = SilenceDetector.builder().build();
    private final Map<AttemptId, Watched> mWatched = new HashMap<>();
    private long mConnections;
    private long mCheckedNanos;

    /**
     * Makes a watch.
     *
     * @param nowNanos the current time
     */
    SilenceWatch(long nowNanos) {
        mCheckedNanos = nowNanos;
    }

    /** Watches an attempt from the moment it is sent. Plain services may be silent. */
    void started(RunningRequest running, AttemptId attempt, UpstreamId upstream, long nowNanos) {
        if (running.request().model() == null) {
            return;
        }
        // HTTP/1.1 without pipelining: each attempt has a connection for itself. What the engine
        // has cached is not known yet, so the whole prompt is allowed for.
        long prefillTokens = running.request().promptTokens() + running.tokens();
        mDetector.started(attempt, upstream, ++mConnections, prefillTokens, nowNanos);
        mWatched.put(attempt, new Watched(running));
    }

    /** Forgets the pace of an upstream that has started again. */
    void restarted(UpstreamId upstream) {
        mDetector.forget(upstream);
    }

    /** Gives up silent attempts and returns what is left to do about them. */
    Findings check(long nowNanos) {
        long missed = nowNanos - mCheckedNanos - LONGEST_CHECK_INTERVAL_NANOS;
        mCheckedNanos = nowNanos;
        if (missed > 0) {
            mDetector.processPaused(missed);
        }
        mWatched.entrySet().removeIf(entry -> feed(entry.getKey(), entry.getValue()));
        Findings findings = new Findings(new LinkedHashSet<>(), new LinkedHashMap<>());
        for (SilenceDecision decision : mDetector.check(nowNanos)) {
            switch (decision) {
                case SilenceDecision.DropConnection drop -> {
                    findings.doubtful().add(drop.upstream());
                    drop.attempts().forEach(attempt -> giveUp(findings, attempt, drop.upstream()));
                }
                case SilenceDecision.DropAttempt drop ->
                        giveUp(findings, drop.attempt(), drop.upstream());
                case SilenceDecision.SuspectAttempt doubt -> {
                    findings.doubtful().add(doubt.upstream());
                    LOG.info(
                            "attempt_in_doubt",
                            "upstream",
                            doubt.upstream(),
                            "attempt",
                            doubt.attempt());
                }
            }
        }
        return findings;
    }

    private void giveUp(Findings findings, AttemptId attempt, UpstreamId upstream) {
        LOG.warn("attempt_silent", "upstream", upstream, "attempt", attempt);
        findings.silent().put(attempt, upstream);
        Watched watched = mWatched.remove(attempt);
        if (watched != null) {
            watched.mRequest.abandon(attempt);
        }
    }

    /** Tells the detector of an attempt's tokens and end; returns whether it has ended. */
    private boolean feed(AttemptId attempt, Watched watched) {
        RunningRequest running = watched.mRequest;
        boolean current = running.isCurrent(attempt);
        OptionalLong heard = running.heardNanos(attempt);
        if (heard.isPresent() && !heard.equals(watched.mHeardNanos)) {
            watched.mHeardNanos = heard;
            mDetector.tokenReceived(attempt, heard.getAsLong());
        }
        if (current) {
            return false;
        }
        OptionalLong cached = running.cachedTokens(attempt);
        cached.ifPresent(tokens -> mDetector.finished(attempt, tokens));
        mDetector.ended(attempt);
        return true;
    }

    /**
     * What a check has found.
     *
     * @param doubtful upstreams whose idle connections may be dead as well
     * @param silent attempts that were given up, with their upstreams
     */
    record Findings(Set<UpstreamId> doubtful, Map<AttemptId, UpstreamId> silent) {}

    /** A watched attempt and the arrival that the detector knows of. */
    private static final class Watched {
        private final RunningRequest mRequest;
        private OptionalLong mHeardNanos = OptionalLong.empty();

        Watched(RunningRequest request) {
            mRequest = request;
        }
    }
}
