package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.StateCodec;
import dev.kumquatweir.agreement.raft.RaftInput;
import dev.kumquatweir.agreement.state.StateImage;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import java.util.function.Consumer;

/**
 * Encodes snapshots of the state on the event loop {@code snapshot}, since encoding a large state
 * takes longer than a heartbeat may be delayed. Thread-safe.
 */
final class SnapshotEncoder {
    private static final EventLog LOG = EventLog.of(SnapshotEncoder.class);
    private static final long IDLE_TICK_INTERVAL_MILLIS = 1_000;

    private final Consumer<RaftInput.SnapshotTaken> mOnEncoded;
    private final EventLoop mEventLoop;

    /**
     * @param onEncoded called with each encoded snapshot, on the thread of this encoder
     */
    SnapshotEncoder(Consumer<RaftInput.SnapshotTaken> onEncoded) {
        mOnEncoded = onEncoded;
        mEventLoop =
                new EventLoop(
                        "snapshot",
                        1,
                        IDLE_TICK_INTERVAL_MILLIS,
                        () -> {},
                        (thread, fault) -> LOG.error("snapshot_fault", fault));
    }

    void start() {
        mEventLoop.start();
    }

    void stop() {
        mEventLoop.stop();
    }

    /**
     * Encodes a state later.
     *
     * @param index index of the last entry applied to the state
     */
    void encode(long index, StateImage image) {
        boolean accepted =
                mEventLoop.offer(
                        () ->
                                mOnEncoded.accept(
                                        new RaftInput.SnapshotTaken(
                                                index, StateCodec.encode(image))));
        if (!accepted) {
            LOG.warn("snapshot_skipped", "index", index);
        }
    }
}
