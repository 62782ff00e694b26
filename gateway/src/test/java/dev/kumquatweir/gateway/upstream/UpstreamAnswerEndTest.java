package dev.kumquatweir.gateway.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawUpstream;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.UpstreamRole;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Ends of the answers of engines and plain services, as the dispatcher hears of them. */
final class UpstreamAnswerEndTest {
    private static final long LIMIT_SECONDS = 5;
    private static final long LARGEST_ANSWER_BYTES = 1024;
    private static final int ENDS_APART = 9;
    private static final String TOKEN = "data: {\"index\":0,\"text\":\"abc \"}\n\n";
    private static final String FINISH =
            "data: {\"finish\":\"length\",\"completion_tokens\":1}\n\n";
    private static final String REFUSAL = "{\"error\":{\"type\":\"memory_full\"}}";
    private static final String BROKEN = "broken CONNECTION_LOST";

    private final IoExecutor mExecutor = NettyIoExecutors.createIoExecutor(1, "test");
    private final UpstreamClients mClients = new UpstreamClients(mExecutor, new MetricRegistry());
    private final HttpUpstreamCaller mCaller =
            new HttpUpstreamCaller(mClients, LARGEST_ANSWER_BYTES);

    @AfterEach
    void closeClients() throws Exception {
        mClients.close();
        mExecutor.closeAsync().toFuture().get();
    }

    /** Guards against a generation that ends early and counts as finished. */
    @Test
    void generationWithoutItsFinishIsBroken() throws Exception {
        for (Framing framing : Framing.values()) {
            String body = framing.body(List.of(TOKEN, FINISH));
            int finish = body.indexOf(FINISH);
            // Up to the line end of the last event: the stream may end anywhere before it.
            for (int length : ends(body.indexOf(TOKEN), finish + FINISH.length() - 3)) {
                List<Answer> answers =
                        Stream.of(Ending.CLOSE_SENDING, Ending.RESET_LATER)
                                .map(ending -> cut(framing, List.of(TOKEN, FINISH), length, ending))
                                .toList();
                boolean token = length >= body.indexOf(TOKEN) + TOKEN.length() - 1;
                for (Answer answer : answers) {
                    assertThat(
                            framing + " " + answer,
                            heard(generation(), answer),
                            is(
                                    token
                                            ? List.of("accepted", "token 0 abc ", BROKEN)
                                            : List.of("accepted", BROKEN)));
                }
            }
        }
    }

    /** Guards against a finished generation that counts as broken because of its connection. */
    @Test
    void generationWithItsFinishIsWholeWhateverFollows() throws Exception {
        for (Framing framing : Framing.values()) {
            int end = framing.body(List.of(TOKEN, FINISH)).indexOf(FINISH) + FINISH.length();
            for (Ending ending : List.of(Ending.CLOSE_SENDING, Ending.RESET_LATER)) {
                assertThat(
                        heard(generation(), cut(framing, List.of(TOKEN, FINISH), end, ending)),
                        is(List.of("accepted", "token 0 abc ", "finished length")));
            }
        }
    }

    /** Guards against "not run" without proof: a refusal counts only when it can be read. */
    @Test
    void refusalThatIsCutProvesNothing() throws Exception {
        for (Framing framing : Framing.values()) {
            String head = framing.head(409, "", List.of(REFUSAL));
            String body = framing.body(List.of(REFUSAL));
            int end = body.indexOf(REFUSAL) + REFUSAL.length();
            Answer cut = new Answer(head + body.substring(0, end - 1), Ending.CLOSE_SENDING);
            List<String> heard = heard(generation(), cut);
            assertThat(framing + " " + heard, heard.getLast().startsWith("broken"), is(true));
            Answer reset = new Answer(head + body.substring(0, end - 1), Ending.RESET_LATER);
            assertThat(heard(generation(), reset), is(List.of(BROKEN)));
            Answer whole = new Answer(head + body, Ending.CLOSE_SENDING);
            assertThat(heard(generation(), whole), is(List.of("refused MEMORY_FULL")));
        }
    }

    /** Guards against a part of a service's answer that is recorded as the answer. */
    @Test
    void serviceAnswerIsWholeOrBroken() throws Exception {
        List<String> parts = List.of("first", " second");
        for (Framing framing : Framing.values()) {
            int size = framing.body(parts).length();
            Work call = new Work.ServiceCall("POST", "/", List.of(), Bytes.ofText("{}"));
            for (int length : ends(0, size)) {
                assertThat(
                        heard(call, cut(framing, parts, length, Ending.RESET_LATER)),
                        is(List.of("accepted", BROKEN)));
                boolean whole = framing.endsWithConnection();
                String got = framing.body(parts).substring(0, length);
                assertThat(
                        heard(call, cut(framing, parts, length, Ending.CLOSE_SENDING)),
                        is(List.of("accepted", whole ? "answered 200 " + got : BROKEN)));
            }
            assertThat(
                    heard(call, cut(framing, parts, size, Ending.CLOSE_SENDING)),
                    is(List.of("accepted", "answered 200 first second")));
        }
    }

    /** Guards against an answer cut inside its head that counts as an empty one. */
    @Test
    void answerCutInItsHeadIsBroken() throws Exception {
        Work call = new Work.ServiceCall("POST", "/", List.of(), Bytes.ofText("{}"));
        for (Framing framing : Framing.values()) {
            String head = framing.head(200, "", List.of());
            for (int length = 1; length < head.length(); length += ENDS_APART) {
                for (Ending ending : List.of(Ending.CLOSE_SENDING, Ending.RESET_LATER)) {
                    Answer answer = new Answer(head.substring(0, length), ending);
                    String tried = framing + " " + answer;
                    assertThat(tried, heard(call, answer), is(List.of(BROKEN)));
                    assertThat(tried, heard(generation(), answer), is(List.of(BROKEN)));
                }
            }
            Answer last = new Answer(head.substring(0, head.length() - 1), Ending.CLOSE_SENDING);
            assertThat(framing + " " + last, heard(call, last), is(List.of(BROKEN)));
            assertThat(framing + " " + last, heard(generation(), last), is(List.of(BROKEN)));
        }
    }

    /** Guards against attempts sent on a connection that an unframed answer has ended. */
    @Test
    void connectionOfUnframedAnswerIsNotUsedAgain() throws Exception {
        Answer answer = cut(Framing.NONE, List.of(TOKEN, FINISH), -1, Ending.CLOSE_SENDING);
        try (RawUpstream upstream = new RawUpstream(received -> answer)) {
            List<Recorder> recorders =
                    IntStream.range(0, 200)
                            .mapToObj(number -> start(upstream, generation()))
                            .toList();
            for (Recorder recorder : recorders) {
                assertThat(recorder.heard().getLast(), is("finished length"));
                // Each end may free a connection for one of these.
                assertThat(start(upstream, generation()).heard().getLast(), is("finished length"));
            }
            assertThat(upstream.reused(), is(empty()));
        }
    }

    /** Guards against answers without end that are read for good, or until memory runs out. */
    @Test
    void answerWithoutEndIsGivenUpAndItsConnectionClosed() throws Exception {
        Work call = new Work.ServiceCall("POST", "/", List.of(), Bytes.ofText("{}"));
        String filler = "x".repeat(1_000);
        String header = ("Filler: " + "x".repeat(100) + "\r\n").repeat(10);
        String open = Framing.NONE.head(200, "", List.of());
        String failure = Framing.NONE.head(500, "", List.of());
        assertGivenUp(call, open + filler, List.of("accepted", BROKEN));
        assertGivenUp(call, "HTTP/1.1 200 Status\r\n" + header, List.of(BROKEN));
        assertGivenUp(generation(), "HTTP/1.1 200 Status\r\n" + header, List.of(BROKEN));
        assertGivenUp(generation(), failure + filler, List.of(BROKEN));
        assertGivenUp(
                generation(),
                open + TOKEN + FINISH + filler,
                List.of("accepted", "token 0 abc ", "finished length"));
    }

    /** Guards against a status line that names no status of HTTP and is recorded as an answer. */
    @Test
    void answerWithoutStatusIsBroken() throws Exception {
        Work call = new Work.ServiceCall("POST", "/", List.of(), Bytes.ofText("{}"));
        for (String status : List.of("000", "99", "1000", "600", "999", "2OO", "")) {
            String whole =
                    Framing.LENGTH
                            .head(200, "", List.of("text"))
                            .replace(" 200 ", " " + status + " ");
            Answer answer = new Answer(whole + "text", Ending.KEEP_OPEN);
            for (Work work : List.of(call, generation())) {
                String end = heard(work, answer).getLast();
                assertThat("'" + status + "' " + end, end.startsWith("broken"), is(true));
            }
        }
    }

    /**
     * Guards against an early answer without a length that counts as complete when its connection
     * is reset while the request is still being written.
     */
    @Test
    void unframedAnswerBeforeTheRequestIsReadIsCutByReset() throws Exception {
        String large = "x".repeat(6 << 20);
        Work call = new Work.ServiceCall("POST", "/", List.of(), Bytes.ofText(large));
        Work generation =
                new Work.Generation(new ModelName("model"), large, 1, JsonBodies.object());
        String head = Framing.NONE.head(200, "", List.of());
        for (Ending ending : List.of(Ending.RESET, Ending.RESET_LATER)) {
            assertThat(heard(call, new Answer(head + "part", ending, true)).getLast(), is(BROKEN));
            assertThat(
                    heard(generation, new Answer(head + TOKEN, ending, true)).getLast(),
                    is(BROKEN));
        }
    }

    private void assertGivenUp(Work work, String answer, List<String> heard) throws Exception {
        Answer endless = new Answer(answer, Ending.WITHOUT_END);
        try (RawUpstream upstream = new RawUpstream(received -> endless)) {
            assertThat(answer.substring(0, 40), start(upstream, work).heard(), is(heard));
            for (int wait = 0; wait < 100 && upstream.closedByPeer().isEmpty(); wait++) {
                Thread.sleep(100);
            }
            assertThat(answer.substring(0, 40), upstream.closedByPeer(), hasSize(1));
        }
    }

    private static List<Integer> ends(int from, int to) {
        return IntStream.range(from, to)
                .filter(length -> (length - from) % ENDS_APART == 0)
                .boxed()
                .toList();
    }

    /** Returns the first bytes of an answer, all of it for a negative length. */
    private static Answer cut(Framing framing, List<String> parts, int length, Ending ending) {
        String body = framing.body(parts);
        String sent = length < 0 ? body : body.substring(0, length);
        return new Answer(framing.head(200, "", parts) + sent, ending);
    }

    private static Work generation() {
        return new Work.Generation(new ModelName("model"), "prompt", 1, JsonBodies.object());
    }

    private List<String> heard(Work work, Answer answer) throws Exception {
        try (RawUpstream upstream = new RawUpstream(received -> answer)) {
            return start(upstream, work).heard();
        }
    }

    private Recorder start(RawUpstream upstream, Work work) {
        Recorder recorder = new Recorder();
        mCaller.start(order(upstream.address(), work), recorder);
        return recorder;
    }

    private static AttemptOrder order(String address, Work work) {
        Announcement announcement =
                new Announcement(
                        new UpstreamId("upstream"),
                        1,
                        address,
                        new FailureDomain("domain"),
                        work instanceof Work.Generation
                                ? UpstreamKind.ENGINE
                                : UpstreamKind.SERVICE,
                        new ServiceName("service"),
                        Set.of(),
                        0,
                        UpstreamRole.MIXED,
                        false,
                        false,
                        new ColdLimit(0, 0),
                        1);
        return new AttemptOrder(
                new AttemptId("attempt"),
                announcement,
                List.of(),
                work,
                List.of(),
                0,
                "",
                5,
                TimeUnit.SECONDS.toMillis(LIMIT_SECONDS),
                List.of(),
                true);
    }

    /** Writes down what it hears, up to the end of the attempt. */
    private static final class Recorder implements AttemptListener {
        private final List<String> mHeard = new ArrayList<>();
        private final CompletableFuture<List<String>> mEnd = new CompletableFuture<>();

        List<String> heard() throws Exception {
            return mEnd.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void accepted() {
            mHeard.add("accepted");
        }

        @Override
        public void token(long index, String text) {
            mHeard.add("token " + index + " " + text);
        }

        @Override
        public void finished(GenerationSummary summary) {
            end("finished " + summary.finishReason());
        }

        @Override
        public void answered(RecordedResponse answer) {
            end("answered " + answer.status() + " " + answer.body().toText());
        }

        @Override
        public void refused(AttemptEvent.RefusalReason reason) {
            end("refused " + reason);
        }

        @Override
        public void broken(AttemptEvent.BreakCause cause) {
            end("broken " + cause);
        }

        private void end(String event) {
            mHeard.add(event);
            mEnd.complete(List.copyOf(mHeard));
        }
    }
}
