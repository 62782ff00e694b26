package dev.kumquatweir.program.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** A log whose reader stands still, and one that gets too much. */
final class RingLogHandlerTest {
    private static final int CAPACITY = 64;

    /** Guards against threads that wait for the reader of the log. */
    @Test
    void blockedOutputDoesNotBlockPublishers() {
        CountDownLatch unblocked = new CountDownLatch(1);
        RingLogHandler handler = handler(new BlockedStream(unblocked));
        Assertions.assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> {
                    for (int line = 0; line < 10 * CAPACITY; line++) {
                        handler.publish(new LogRecord(Level.INFO, "line"));
                    }
                });
        assertThat(handler.droppedRecords(), greaterThan(5L * CAPACITY));
        unblocked.countDown();
    }

    /** Guards against failures that are left out before what went well. */
    @Test
    void warningIsQueuedAfterOtherRecordsAreDropped() {
        CountDownLatch unblocked = new CountDownLatch(1);
        RingLogHandler handler = handler(new BlockedStream(unblocked));
        for (int line = 0; line < 2 * CAPACITY; line++) {
            handler.publish(new LogRecord(Level.INFO, "line"));
        }
        long droppedBefore = handler.droppedRecords();
        handler.publish(new LogRecord(Level.WARNING, "failure"));
        assertThat(handler.droppedRecords(), is(droppedBefore));
        unblocked.countDown();
    }

    /** Guards against lines that are missing without a word. */
    @Test
    void droppedRecordsAreReported() {
        CountDownLatch unblocked = new CountDownLatch(1);
        BlockedStream stream = new BlockedStream(unblocked);
        RingLogHandler handler = handler(stream);
        for (int line = 0; line < 10 * CAPACITY; line++) {
            handler.publish(new LogRecord(Level.INFO, "line"));
        }
        unblocked.countDown();
        while (handler.droppedRecords() > 0) {
            Thread.onSpinWait();
        }
        handler.flush();
        assertThat(stream.text(), containsString("event=log_lines_left_out count="));
    }

    private static RingLogHandler handler(OutputStream stream) {
        RingLogHandler handler =
                new RingLogHandler(CAPACITY, new PrintStream(stream, true, StandardCharsets.UTF_8));
        handler.setFormatter(
                new Formatter() {
                    @Override
                    public String format(LogRecord logged) {
                        return logged.getMessage() + "\n";
                    }
                });
        return handler;
    }

    /** Takes nothing until its latch opens. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch mUnblocked;
        private final ByteArrayOutputStream mWritten = new ByteArrayOutputStream();

        BlockedStream(CountDownLatch unblocked) {
            mUnblocked = unblocked;
        }

        @Override
        public void write(int next) {
            try {
                mUnblocked.await();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            synchronized (mWritten) {
                mWritten.write(next);
            }
        }

        String text() {
            synchronized (mWritten) {
                return mWritten.toString(StandardCharsets.UTF_8);
            }
        }
    }
}
