package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.time.Clocks;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the connections of response streams alive. During a long prefill nothing would be written
 * for minutes, and proxies on the network path drop connections that look idle. Runs its own event
 * loop thread; thread-safe.
 */
final class StreamKeeper {
    private static final EventLog LOG = EventLog.of(StreamKeeper.class);
    private static final long TICK_MILLIS = 500;
    private static final long OPEN_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long KEEP_ALIVE_IDLE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Set<KeepAliveStream> mStreams = ConcurrentHashMap.newKeySet();
    private final Clocks mClocks;
    private final EventLoop mEventLoop;

    StreamKeeper(Clocks clocks) {
        mClocks = clocks;
        mEventLoop =
                new EventLoop(
                        "keep-alive",
                        1,
                        TICK_MILLIS,
                        this::tick,
                        (thread, fault) -> LOG.error("keep_alive_fault", fault));
    }

    void start() {
        mEventLoop.start();
    }

    void stop() {
        mEventLoop.stop();
    }

    void add(KeepAliveStream stream) {
        mStreams.add(stream);
    }

    private void tick() {
        long nowNanos = mClocks.nowNanos();
        mStreams.removeIf(
                stream -> !stream.keepAlive(OPEN_AFTER_NANOS, KEEP_ALIVE_IDLE_NANOS, nowNanos));
    }
}
