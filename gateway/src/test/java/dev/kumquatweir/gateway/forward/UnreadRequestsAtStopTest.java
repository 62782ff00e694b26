package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Planned stops of an instance whose I/O thread is behind. */
@Timeout(60)
final class UnreadRequestsAtStopTest {
    private static final int CALLERS = 20;
    private static final long HELD_MILLIS = 1_500;
    private static final long STEP_MILLIS = 300;

    /**
     * Guards against the close of a kept connection on which a request lies unread: it is neither
     * run nor answered.
     */
    @Test
    void requestThatLiesUnreadAtTheCloseIsAnswered() throws Exception {
        try (ForwardingHarness harness = harness()) {
            List<Socket> callers = connect(harness, CALLERS);
            for (Socket caller : callers) {
                RawCaller.write(
                        caller,
                        ForwardingHarness.request(
                                ForwardingHarness.ONCE, "first-" + caller.getLocalPort()));
                assertThat(RawCaller.read(caller).status(), is(200));
            }
            harness.holdIoThread(HELD_MILLIS);
            Thread.sleep(STEP_MILLIS);
            for (Socket caller : callers) {
                RawCaller.write(
                        caller,
                        ForwardingHarness.request(
                                ForwardingHarness.ONCE, "unread-" + caller.getLocalPort()));
            }
            Thread.sleep(STEP_MILLIS);
            harness.beginClose();
            assertThat(unanswered(callers), empty());
        }
    }

    /** Guards against the close of a connection that was made but not accepted yet. */
    @Test
    void requestOnConnectionNotYetAcceptedIsAnswered() throws Exception {
        try (ForwardingHarness harness = harness()) {
            List<Socket> first = connect(harness, 1);
            RawCaller.write(
                    first.get(0), ForwardingHarness.request(ForwardingHarness.ONCE, "first"));
            assertThat(RawCaller.read(first.get(0)).status(), is(200));
            harness.holdIoThread(HELD_MILLIS);
            Thread.sleep(STEP_MILLIS);
            List<Socket> callers = connect(harness, CALLERS);
            for (Socket caller : callers) {
                RawCaller.write(
                        caller,
                        ForwardingHarness.request(
                                ForwardingHarness.ONCE, "unread-" + caller.getLocalPort()));
            }
            Thread.sleep(STEP_MILLIS);
            harness.beginClose();
            assertThat(unanswered(callers), empty());
        }
    }

    /** Guards against the close of a connection on which a part of a request has come. */
    @Test
    void requestThatComesInPartsIsAnswered() throws Exception {
        try (ForwardingHarness harness = harness()) {
            List<Socket> callers = connect(harness, CALLERS);
            for (Socket caller : callers) {
                String request =
                        ForwardingHarness.request(
                                ForwardingHarness.ONCE, "part-" + caller.getLocalPort());
                int half = request.length() / 2;
                RawCaller.write(caller, request.substring(0, half));
            }
            Thread.sleep(STEP_MILLIS);
            harness.beginClose();
            Thread.sleep(2 * STEP_MILLIS);
            for (Socket caller : callers) {
                String request =
                        ForwardingHarness.request(
                                ForwardingHarness.ONCE, "part-" + caller.getLocalPort());
                RawCaller.write(caller, request.substring(request.length() / 2));
            }
            assertThat(unanswered(callers), empty());
        }
    }

    /** Guards against idle connections that keep a stop from ending. */
    @Test
    void idleConnectionsAreClosed() throws Exception {
        try (ForwardingHarness harness = harness()) {
            List<Socket> callers = connect(harness, CALLERS);
            harness.beginClose();
            for (Socket caller : callers) {
                caller.setSoTimeout((int) HELD_MILLIS);
                assertThat(caller.getInputStream().read(), is(-1));
            }
        }
    }

    /** Guards against callers who keep connecting and so hold the listening socket open. */
    @Test
    void steadyNewConnectionsDoNotHoldTheListeningSocketOpen() throws Exception {
        try (ForwardingHarness harness = harness()) {
            RawCaller.Response first = harness.call(ForwardingHarness.ONCE, "first");
            assertThat(first.status(), is(200));
            harness.beginClose();
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HELD_MILLIS * 2);
            boolean refused = false;
            while (!refused && System.nanoTime() - endNanos < 0) {
                try (Socket caller = harness.connect()) {
                    assertThat(caller.isConnected(), is(true));
                } catch (UncheckedIOException closed) {
                    refused = true;
                }
                Thread.sleep(STEP_MILLIS / 10);
            }
            assertThat(refused, is(true));
        }
    }

    private static ForwardingHarness harness() throws Exception {
        return new ForwardingHarness(
                UnreadRequestsAtStopTest::answer, UnreadRequestsAtStopTest::answer);
    }

    private static RawUpstream.Answer answer(RawUpstream.Received received) {
        List<String> body = List.of("answer");
        String id = PlainDialect.REQUEST_ID + ": " + ForwardingHarness.requestId(received) + "\r\n";
        return new RawUpstream.Answer(
                Framing.LENGTH.head(200, id, body) + Framing.LENGTH.body(body),
                RawUpstream.Ending.KEEP_OPEN);
    }

    private static List<Socket> connect(ForwardingHarness harness, int count) {
        return IntStream.range(0, count).mapToObj(number -> harness.connect()).toList();
    }

    /** Returns a line for each caller without a complete answer of the upstream or a 503. */
    private static List<String> unanswered(List<Socket> callers) {
        List<String> lines = new ArrayList<>();
        for (Socket caller : callers) {
            try (caller) {
                RawCaller.Response response = RawCaller.read(caller);
                if (!response.complete()
                        || (response.status() != 200 && response.status() != 503)) {
                    lines.add(caller.getLocalPort() + " " + response);
                }
            } catch (IOException broken) {
                lines.add(caller.getLocalPort() + " " + broken);
            }
        }
        return lines;
    }
}
