package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.policy.placement.QuarantinedPart;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class WatchServerTest {
    private static final long MILLISECOND_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final InstanceId ENTRY = new InstanceId("entry");
    private static final RoutingImage ROUTING =
            new RoutingImage(7, Bytes.ofText("routes"), Set.of(), 3);

    private final QuarantineDirectory mQuarantine = new QuarantineDirectory();
    private final WatchServer mServer = new WatchServer(new UpstreamDirectory(), mQuarantine, 1);
    private final List<WatchResponse> mResponses = new ArrayList<>();

    /** Guards against sending the whole document to each watcher from every control instance. */
    @Test
    void followerDoesNotSendNewRoutingBeforeTheDelay() {
        sendRequest(0);
        mServer.setState(state(false), MILLISECOND_NANOS);
        sendRequest(100 * MILLISECOND_NANOS);
        assertThat(
                mResponses.stream().anyMatch(each -> each.newerRouting().isPresent()), is(false));
    }

    /** Guards against a watcher that never receives routing because it can't reach the leader. */
    @Test
    void followerSendsRoutingToOutdatedWatcherAfterTheDelay() {
        mServer.setState(state(false), MILLISECOND_NANOS);
        sendRequest(400 * MILLISECOND_NANOS);
        assertThat(mResponses, hasSize(1));
        assertThat(mResponses.get(0).newerRouting().isPresent(), is(true));
    }

    /** Guards against routing that is delayed until a watcher's maximum wait time ends. */
    @Test
    void leaderSendsRoutingImmediately() {
        sendRequest(0);
        mResponses.clear();
        sendRequest(MILLISECOND_NANOS);
        mServer.setState(state(true), 2 * MILLISECOND_NANOS);
        assertThat(mResponses.get(mResponses.size() - 1).newerRouting().isPresent(), is(true));
    }

    /** Guards against a watcher that learns of a crashing part only when its wait ends. */
    @Test
    void newVerdictIsSentToPendingWatchersAtOnce() {
        sendFirstRequest();
        sendRequest(MILLISECOND_NANOS);
        assertThat(mResponses, hasSize(0));
        mQuarantine.update(
                List.of(new QuarantinedPart("5c1e", 0)), List.of(), 2 * MILLISECOND_NANOS, 1_000);
        mServer.notifyWatchers(2 * MILLISECOND_NANOS);
        assertThat(
                mResponses.get(0).verdicts(),
                is(List.of(new QuarantineVerdict("5c1e", 1_000, false, 0))));
    }

    /** Guards against a verdict that waits for the next poll of a watcher that lacks it. */
    @Test
    void requestOfWatcherThatLacksVerdictIsAnsweredAtOnce() {
        sendFirstRequest();
        mQuarantine.update(List.of(new QuarantinedPart("5c1e", 0)), List.of(), 0, 1_000);
        sendRequest(MILLISECOND_NANOS);
        assertThat(mResponses, hasSize(1));
        assertThat(mResponses.get(0).verdicts(), hasSize(1));
    }

    /** Guards against returning a verdict to the watcher that it came from. */
    @Test
    void verdictsInTheRequestAreNotSentBack() {
        sendFirstRequest();
        mQuarantine.update(List.of(new QuarantinedPart("5c1e", 0)), List.of(), 0, 1_000);
        sendRequest(List.of(new QuarantineVerdict("5c1e", 1_000, false, 5)), 0, MILLISECOND_NANOS);
        assertThat(mResponses, hasSize(0));
    }

    private static WatchServer.State state(boolean leading) {
        return new WatchServer.State(1, leading, List.of(), 1, ROUTING);
    }

    /** Sends the first request of the watcher, which is always answered at once. */
    private void sendFirstRequest() {
        sendRequest(0);
        mResponses.clear();
    }

    /**
     * Guards against sending a large document as it is to each instance over links of a few Mbit/s,
     * and against one that the watcher can't restore.
     */
    @Test
    void compactWatcherGetsTheWholeDocumentInFewBytes() {
        String document = "{\"name\":\"route\",\"timeout_ms\":10000},".repeat(1_400);
        mServer.setState(
                new WatchServer.State(
                        1,
                        true,
                        List.of(),
                        1,
                        new RoutingImage(7, Bytes.ofText(document), Set.of(), 3)),
                0);
        List<Bytes> contents = new ArrayList<>();
        mServer.watch(
                ENTRY,
                new WatchRequest(0, 1, 0, 0, List.of(), true, false, 1_000),
                true,
                content -> {
                    contents.add(content);
                    return Option.none();
                },
                MILLISECOND_NANOS);
        assertThat(contents.get(0).size(), lessThan(document.length() / 10));
        RoutingImage routing =
                WatchResponse.decodeCompact(contents.get(0)).get().newerRouting().orElseThrow();
        assertThat(routing.document().toText(), is(document));
        assertThat(routing.version(), is(7L));
        assertThat(routing.changeCount(), is(3L));
    }

    /** Guards against a document that can't be restored and is taken for an empty one. */
    @Test
    void damagedCompactDocumentIsMalformed() {
        RoutingImage damaged = new RoutingImage(7, Bytes.ofText("no stream"), Set.of(), 3);
        assertThat(CompactRouting.expand(damaged).isLeft(), is(true));
        assertThat(CompactRouting.expand(RoutingImage.EMPTY).get(), is(RoutingImage.EMPTY));
    }

    private void sendRequest(long nowNanos) {
        sendRequest(List.of(), 0, nowNanos);
    }

    private void sendRequest(
            List<QuarantineVerdict> verdicts, long quarantineRevision, long nowNanos) {
        mServer.watch(
                ENTRY,
                new WatchRequest(0, 1, 0, quarantineRevision, verdicts, true, false, 1_000),
                false,
                content -> {
                    mResponses.add(WatchResponse.decode(content).get());
                    return Option.none();
                },
                nowNanos);
    }
}
