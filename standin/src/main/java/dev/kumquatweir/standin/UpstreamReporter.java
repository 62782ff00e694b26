package dev.kumquatweir.standin;

import com.fasterxml.jackson.databind.JsonNode;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import io.vavr.control.Try;
import java.util.concurrent.TimeUnit;

/**
 * Announces an upstream, sends its heartbeats and cache events, and says when it leaves, on a
 * thread of its own. Thread-safe.
 */
final class UpstreamReporter {
    private static final EventLog LOG = EventLog.of(UpstreamReporter.class);
    private static final long TICK_MILLIS = 20;
    private static final int RING_CAPACITY = 64;
    private static final int LARGEST_BATCH = 2_000;

    private final KumquatweirClient mClient;
    private final Source mSource;
    private final CacheEventQueue mCacheEvents;
    private final long mHeartbeatNanos;
    private final long mCacheEventNanos;
    private final EventLoop mDuty;
    private volatile boolean mAnnounceNeeded = true;
    private volatile boolean mPaused;
    private long mNextHeartbeatNanos = System.nanoTime();
    private long mNextCacheEventNanos = System.nanoTime();
    private long mNextAnnounceNanos = System.nanoTime();
    private long mSequence;

    /** What the reporter tells. Called on the reporter's thread. */
    interface Source {
        UpstreamMessages.Announce announcement();

        UpstreamMessages.Heartbeat heartbeat(long sequence);

        /** Puts the whole cache into the queue of cache events. */
        void resendCache();
    }

    UpstreamReporter(
            KumquatweirClient client,
            Source source,
            CacheEventQueue cacheEvents,
            long heartbeatMillis,
            long cacheEventMillis,
            String threadName) {
        mClient = client;
        mSource = source;
        mCacheEvents = cacheEvents;
        mHeartbeatNanos = TimeUnit.MILLISECONDS.toNanos(heartbeatMillis);
        mCacheEventNanos = TimeUnit.MILLISECONDS.toNanos(cacheEventMillis);
        mDuty =
                new EventLoop(
                        threadName,
                        RING_CAPACITY,
                        TICK_MILLIS,
                        this::tick,
                        (thread, fault) -> LOG.error("reporter_fault", fault));
    }

    void start() {
        if (mClient.addressCount() > 0) {
            mDuty.start();
        }
    }

    /** Announces the upstream again, because what it would say has changed. */
    void announceAgain() {
        mAnnounceNeeded = true;
    }

    /** Sends nothing while paused. */
    void pause(boolean paused) {
        mPaused = paused;
    }

    /** Says that the upstream leaves and stops. Tries each address once. */
    void leave(UpstreamMessages.Leave leave) {
        if (mClient.addressCount() == 0) {
            return;
        }
        mDuty.stop();
        boolean told = false;
        for (int tried = 0; !told && tried < mClient.addressCount(); tried++) {
            told = mClient.post("/upstream/v1/leave", leave).isSuccess();
        }
        mClient.close();
    }

    /** Stops without a word. */
    void stop() {
        mPaused = true;
        if (mClient.addressCount() > 0) {
            mDuty.stop();
            mClient.close();
        }
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        if (mPaused) {
            return;
        }
        boolean heartbeatDue = nowNanos - mNextHeartbeatNanos >= 0;
        if (heartbeatDue) {
            mNextHeartbeatNanos = nowNanos + mHeartbeatNanos;
        }
        if (mAnnounceNeeded && nowNanos - mNextAnnounceNanos >= 0) {
            announce(nowNanos);
        }
        if (heartbeatDue && !mAnnounceNeeded) {
            sendHeartbeat();
        }
        if (!mAnnounceNeeded && nowNanos - mNextCacheEventNanos >= 0) {
            mNextCacheEventNanos = nowNanos + mCacheEventNanos;
            sendCacheEvents();
        }
    }

    /** An address that fails is followed by the next one at once, but each is tried only once. */
    private void announce(long nowNanos) {
        mAnnounceNeeded = false;
        boolean told = false;
        for (int tried = 0; !told && tried < mClient.addressCount(); tried++) {
            told = mClient.post("/upstream/v1/announce", mSource.announcement()).isSuccess();
        }
        if (!told) {
            mAnnounceNeeded = true;
            mNextAnnounceNanos = nowNanos + mHeartbeatNanos;
        }
    }

    private void sendHeartbeat() {
        mSequence++;
        Try<JsonNode> answer = Try.failure(new IllegalStateException("not sent"));
        for (int tried = 0; answer.isFailure() && tried < mClient.addressCount(); tried++) {
            answer = mClient.post("/upstream/v1/heartbeat", mSource.heartbeat(mSequence));
        }
        if (answer.isSuccess() && answer.get().path("announce").asBoolean()) {
            mAnnounceNeeded = true;
        }
    }

    private void sendCacheEvents() {
        CacheEventQueue.Batch batch = mCacheEvents.oldest(LARGEST_BATCH);
        if (batch.events().isEmpty() && !batch.isWholeList()) {
            return;
        }
        UpstreamMessages.Announce self = mSource.announcement();
        Try<JsonNode> answer =
                mClient.post(
                        "/upstream/v1/cache-events",
                        new UpstreamMessages.CacheEvents(
                                self.id(),
                                self.incarnation(),
                                batch.firstSequence(),
                                batch.events()));
        if (answer.isSuccess()) {
            mCacheEvents.delivered(batch);
            if (answer.get().path("resync").asBoolean()) {
                mSource.resendCache();
            }
        }
    }
}
