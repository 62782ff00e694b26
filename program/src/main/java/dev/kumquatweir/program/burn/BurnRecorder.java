package dev.kumquatweir.program.burn;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.RequestObserver;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Counts the requests of one instance and saves the counters once a minute, where there is a disk.
 * Thread-safe.
 */
public final class BurnRecorder implements RequestObserver {
    private static final EventLog LOG = EventLog.of(BurnRecorder.class);
    private static final long SAVE_INTERVAL_SECONDS = 60;
    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final BurnCounters mCounters = new BurnCounters();
    private final Map<String, Long> mRunning = new TreeMap<>();
    private final Optional<BurnFile> mFile;
    private final Clocks mClocks;
    private final ScheduledExecutorService mSaveExecutor =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().name("burn").daemon().factory());

    /**
     * @param file where counters are kept, empty for an instance without a disk
     * @param clocks clocks of the process
     */
    public BurnRecorder(Optional<BurnFile> file, Clocks clocks) {
        mFile = file;
        mClocks = clocks;
    }

    /** Takes what was saved, and saves from now on. */
    public void start() {
        mFile.ifPresent(
                file -> {
                    file.load(mCounters, mClocks.nowMillis())
                            .peekLeft(failure -> LOG.failure("burn_counters_ignored", failure));
                    ScheduledFuture<?> unused =
                            mSaveExecutor.scheduleWithFixedDelay(
                                    this::save,
                                    SAVE_INTERVAL_SECONDS,
                                    SAVE_INTERVAL_SECONDS,
                                    TimeUnit.SECONDS);
                });
    }

    /** Saves a last time. */
    public void stop() {
        mSaveExecutor.execute(this::save);
        mSaveExecutor.shutdown();
        try {
            if (!mSaveExecutor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                LOG.warn("burn_counters_not_saved", "reason", "timeout");
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the sums of this instance as they are now. */
    public BurnSummary summary() {
        return BurnSummary.of(mCounters, mClocks.nowMillis());
    }

    @Override
    public void refused(WorkRequest request, RequestFailure failure) {
        count(request, BurnCount.REFUSED);
    }

    @Override
    public void admitted(WorkRequest request) {
        count(request, BurnCount.ADMITTED);
        adjustRunning(request, 1);
    }

    @Override
    public void tokenGap(WorkRequest request, long gapNanos) {}

    @Override
    public void finished(WorkRequest request, long firstTokenNanos, long nowNanos) {
        boolean inTime = nowNanos - request.deadlineNanos() <= 0;
        count(request, inTime ? BurnCount.IN_TIME : BurnCount.LATE);
        long boundMillis = request.profile().objective().firstTokenMillis();
        if (boundMillis > 0 && request.model() != null) {
            long tookNanos = firstTokenNanos - request.arrivedNanos();
            boolean inBound = tookNanos <= TimeUnit.MILLISECONDS.toNanos(boundMillis);
            count(request, inBound ? BurnCount.FIRST_TOKEN_IN_BOUND : BurnCount.FIRST_TOKEN_LATE);
        }
        adjustRunning(request, -1);
    }

    @Override
    public void failed(WorkRequest request, RequestFailure failure) {
        boolean callerDisconnected = failure instanceof RequestFailure.CallerDisconnected;
        count(request, callerDisconnected ? BurnCount.CALLER_GONE : BurnCount.FAILED);
        adjustRunning(request, -1);
    }

    private void count(WorkRequest request, BurnCount count) {
        mCounters.add(request.profile().name().value(), count, mClocks.nowMillis());
    }

    private void adjustRunning(WorkRequest request, long change) {
        synchronized (mRunning) {
            String profile = request.profile().name().value();
            long running = mRunning.merge(profile, change, Long::sum);
            if (running == 0) {
                mRunning.remove(profile);
            }
        }
    }

    private void save() {
        Map<String, Long> running;
        synchronized (mRunning) {
            running = Map.copyOf(mRunning);
        }
        mFile.ifPresent(
                file ->
                        file.save(mCounters, running, mClocks.nowMillis())
                                .peek(failure -> LOG.failure("burn_counters_not_saved", failure)));
    }
}
