package dev.kumquatweir.program.memory;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.gateway.memory.ReclaimObserver;

/** Counts the attempts, KV exports and tokens that memory reconciliation has freed. Thread-safe. */
final class ReclaimMetrics implements ReclaimObserver {
    private final Counter mAttempts;
    private final Counter mExports;
    private final Counter mTokens;

    ReclaimMetrics(MetricRegistry metrics) {
        mAttempts = metrics.counter("kumquatweir_memory_reclaimed_attempts");
        mExports = metrics.counter("kumquatweir_memory_reclaimed_exports");
        mTokens = metrics.counter("kumquatweir_memory_reclaimed_tokens");
    }

    @Override
    public void attemptCancelled(long tokens) {
        mAttempts.inc();
        mTokens.inc(tokens);
    }

    @Override
    public void exportReleased(long tokens) {
        mExports.inc();
        mTokens.inc(tokens);
    }
}
