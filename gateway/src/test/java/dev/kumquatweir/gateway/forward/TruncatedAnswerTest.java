package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Guards against answers that end early and look complete to the caller. Each answer is cut at each
 * byte of its body and at the places of its head, by a close and by a reset of the connection.
 */
final class TruncatedAnswerTest {
    private static final int PARALLEL = 48;
    private static final int BAD_GATEWAY = 502;

    private static final CutAnswer.Content TEXT =
            CutAnswer.Content.text("first part,", " second,", " third");

    /** The second event is in two parts, and the third part has the end of one and a whole one. */
    private static final CutAnswer.Content EVENTS =
            CutAnswer.Content.events(
                    "id: 1\ndata: a\n\n", "id: 2\r\ndata: b", "c\r\n\r\nid: 3\ndata: d\n\n");

    /** Guards also against sending a request twice that may run once. */
    @Test
    void callThatRunsOnceFailsUnlessItsAnswerIsWhole() throws Exception {
        Map<String, Result> results = run(ForwardingHarness.ONCE, TEXT);
        check(results, result -> result.secondSends().isEmpty());
        check(
                results,
                result ->
                        result.cut().framedWhole()
                                ? result.is(200, true, result.cut().sentContent())
                                        || (result.cut().mayLoseBytes() && result.failed())
                                : result.failed());
    }

    @Test
    void repeatableCallIsSentAgainUnlessItsAnswerIsWhole() throws Exception {
        Map<String, Result> results = run(ForwardingHarness.IDEMPOTENT, TEXT);
        check(
                results,
                result ->
                        result.is(
                                200,
                                true,
                                result.cut().framedWhole()
                                        ? result.cut().sentContent()
                                        : TEXT.text()));
        check(
                results,
                result ->
                        result.secondSends().isEmpty() == result.cut().framedWhole()
                                || result.cut().mayLoseBytes());
    }

    /** Guards also against sending a stream twice that may run once. */
    @Test
    void streamThatRunsOnceIsAbortedUnlessItIsWhole() throws Exception {
        Map<String, Result> results = run(ForwardingHarness.STREAM_ONCE, EVENTS);
        check(results, result -> result.secondSends().isEmpty());
        check(
                results,
                result -> {
                    CutAnswer cut = result.cut();
                    int events = cut.sentEvents();
                    boolean exact =
                            events == 0
                                    ? result.failed()
                                    : result.is(200, cut.streamWhole(), EVENTS.firstEvents(events));
                    return exact || (cut.mayLoseBytes() && result.hasFewerEvents());
                });
    }

    /** Guards also against streams with an event missing or twice where they go on. */
    @Test
    void resumableStreamGoesOnAfterItsLastWholeEvent() throws Exception {
        Map<String, Result> results = run(ForwardingHarness.RESUMABLE, EVENTS);
        check(
                results,
                result -> {
                    CutAnswer cut = result.cut();
                    String text =
                            cut.streamWhole()
                                    ? EVENTS.firstEvents(cut.sentEvents())
                                    : EVENTS.text();
                    return result.is(200, true, text);
                });
        check(
                results,
                result -> {
                    CutAnswer cut = result.cut();
                    return cut.mayLoseBytes()
                            || (cut.streamWhole()
                                    ? result.secondSends().isEmpty()
                                    : result.resumedAfter() == cut.sentEvents());
                });
    }

    /** Guards against losing a whole answer because its connection ends right after it. */
    @Test
    void answerWithItsLastByteIsWholeWhateverFollows() throws Exception {
        List<String> parts = List.of("id: 1\ndata: a\n\n");
        for (Framing framing : List.of(Framing.LENGTH, Framing.CHUNKS)) {
            for (Ending ending : List.of(Ending.CLOSE_SENDING, Ending.RESET_LATER)) {
                Function<RawUpstream.Received, RawUpstream.Answer> script =
                        received -> {
                            String id = ForwardingHarness.requestId(received);
                            String head = CutAnswer.head(framing, id, parts);
                            return new RawUpstream.Answer(head + framing.body(parts), ending);
                        };
                try (ForwardingHarness harness = new ForwardingHarness(script, script)) {
                    for (String route :
                            List.of(ForwardingHarness.ONCE, ForwardingHarness.STREAM_ONCE)) {
                        RawCaller.Response response = harness.call(route, "request");
                        assertThat(response.complete(), is(true));
                        assertThat(response.body(), is(String.join("", parts)));
                    }
                }
            }
        }
    }

    /** What came of one answer. */
    private record Result(
            CutAnswer cut,
            RawCaller.Response response,
            List<RawUpstream.Received> firstSends,
            List<RawUpstream.Received> secondSends) {
        boolean is(int status, boolean complete, String body) {
            return response.status() == status
                    && response.complete() == complete
                    && response.body().equals(body);
        }

        boolean failed() {
            return response.status() == BAD_GATEWAY && response.complete();
        }

        /** Returns whether some whole events, or none, were followed by an abort. */
        boolean hasFewerEvents() {
            String body = response.body();
            return failed()
                    || (!response.complete()
                            && EVENTS.text().startsWith(body)
                            && EVENTS.eventEnds().contains(body.length()));
        }

        /** Returns the number of events that the second upstream was told to leave out, or -1. */
        int resumedAfter() {
            return secondSends.size() != 1
                    ? -1
                    : secondSends
                            .getFirst()
                            .header(PlainDialect.RESUME_AFTER)
                            .map(Integer::parseInt)
                            .orElse(0);
        }

        @Override
        public String toString() {
            return cut.requestId()
                    + ": "
                    + response
                    + (secondSends.isEmpty() ? "" : ", sent again after " + resumedAfter());
        }
    }

    private static void check(Map<String, Result> results, Function<Result, Boolean> expected) {
        List<Result> wrong =
                results.values().stream().filter(result -> !expected.apply(result)).toList();
        assertThat(wrong, is(empty()));
    }

    private static Map<String, Result> run(String route, CutAnswer.Content content)
            throws Exception {
        List<CutAnswer> cuts = CutAnswer.all(content);
        Map<String, CutAnswer> byRequest =
                cuts.stream().collect(Collectors.toMap(CutAnswer::requestId, Function.identity()));
        try (ForwardingHarness harness =
                        new ForwardingHarness(
                                received -> answer(byRequest, received),
                                received -> wholeAnswer(received, content));
                ExecutorService callers = Executors.newFixedThreadPool(PARALLEL)) {
            List<Future<RawCaller.Response>> responses = new ArrayList<>();
            for (CutAnswer cut : cuts) {
                responses.add(callers.submit(() -> harness.call(route, cut.requestId())));
            }
            Map<String, Result> results = new TreeMap<>();
            for (Future<RawCaller.Response> response : responses) {
                response.get();
            }
            Map<String, List<RawUpstream.Received>> firstSends =
                    ForwardingHarness.requestsById(harness.first());
            Map<String, List<RawUpstream.Received>> secondSends =
                    ForwardingHarness.requestsById(harness.second());
            for (int number = 0; number < cuts.size(); number++) {
                CutAnswer cut = cuts.get(number);
                String id = cut.requestId();
                results.put(
                        id,
                        new Result(
                                cut,
                                responses.get(number).get(),
                                firstSends.getOrDefault(id, List.of()),
                                secondSends.getOrDefault(id, List.of())));
            }
            check(results, result -> result.firstSends().size() == 1);
            return results;
        }
    }

    private static RawUpstream.Answer answer(
            Map<String, CutAnswer> cuts, RawUpstream.Received received) {
        return Objects.requireNonNull(cuts.get(ForwardingHarness.requestId(received))).answer();
    }

    /** Returns the rest of the content, framed so that its end can't be mistaken. */
    private static RawUpstream.Answer wholeAnswer(
            RawUpstream.Received received, CutAnswer.Content content) {
        String id = ForwardingHarness.requestId(received);
        int after = received.header(PlainDialect.RESUME_AFTER).map(Integer::parseInt).orElse(0);
        String rest = content.afterEvent(after);
        List<String> parts = rest.isEmpty() ? List.of() : List.of(rest);
        return new RawUpstream.Answer(
                CutAnswer.head(Framing.CHUNKS, id, parts) + Framing.CHUNKS.body(parts),
                Ending.KEEP_OPEN);
    }
}
