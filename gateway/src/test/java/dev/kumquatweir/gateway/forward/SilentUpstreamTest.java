package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Guards against answers that are given up because a sound upstream is silent for a while. */
final class SilentUpstreamTest {
    /** Above the limits for the first event and for a gap. */
    private static final long SILENCE_MILLIS = 1_500;

    /** Above the limit for a call, twice the target of its route. */
    private static final long CALL_SILENCE_MILLIS = 2_500;

    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String REST = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    private static final String WHOLE = "200 complete " + (FIRST + REST).replace("\n", "\\n");

    @Test
    void streamGoesOnWhereNoOtherUpstreamIsFree() throws Exception {
        try (ForwardingHarness harness = harness(received -> silent(received, FIRST, REST))) {
            harness.rejectRetries();
            assertThat(harness.call(ForwardingHarness.RESUMABLE, "id").toString(), is(WHOLE));
            assertThat(harness.second().requests(), is(empty()));
            assertThat(harness.silences(), is(1));
        }
    }

    @Test
    void streamBeginsLateWhereNoOtherUpstreamIsFree() throws Exception {
        try (ForwardingHarness harness = harness(received -> silent(received, "", FIRST + REST))) {
            harness.rejectRetries();
            assertThat(harness.call(ForwardingHarness.RESUMABLE, "id").toString(), is(WHOLE));
            assertThat(harness.second().requests(), is(empty()));
        }
    }

    /** Guards against a scheduler that gives a hung upstream more work while others are full. */
    @Test
    void schedulerHearsOfTheSilenceWhileNoOtherUpstreamIsFree() throws Exception {
        try (ForwardingHarness harness = harness(received -> silent(received, FIRST, REST))) {
            harness.holdRetries();
            assertThat(harness.call(ForwardingHarness.RESUMABLE, "id").toString(), is(WHOLE));
            assertThat(harness.silences(), is(1));
        }
    }

    @Test
    void streamGoesOnAtTheLastUpstreamThatItsRouteAllows() throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> new Answer("", Ending.RESET),
                        received -> silent(received, FIRST, REST))) {
            assertThat(harness.call(ForwardingHarness.RESUMABLE, "id").toString(), is(WHOLE));
            assertThat(harness.second().requests(), hasSize(1));
        }
    }

    @Test
    void callIsAnsweredLateWhereNoOtherUpstreamIsFree() throws Exception {
        try (ForwardingHarness harness =
                harness(
                        received ->
                                new Answer(
                                        "",
                                        CALL_SILENCE_MILLIS,
                                        CutAnswer.head(
                                                        Framing.LENGTH,
                                                        ForwardingHarness.requestId(received),
                                                        List.of("late"))
                                                + "late"))) {
            harness.rejectRetries();
            assertThat(
                    harness.call(ForwardingHarness.IDEMPOTENT, "id").toString(),
                    is("200 complete late"));
        }
    }

    /** Guards against a stream that waits for a hung upstream although another one is free. */
    @Test
    void anotherUpstreamTakesOverAfterTheLastEvent() throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> silent(received, FIRST, REST),
                        received ->
                                new Answer(
                                        head(received, REST) + Framing.LENGTH.body(List.of(REST)),
                                        Ending.KEEP_OPEN))) {
            assertThat(harness.call(ForwardingHarness.RESUMABLE, "id").toString(), is(WHOLE));
            assertThat(harness.second().requests(), hasSize(1));
            assertThat(
                    harness.second().requests().getFirst().header(PlainDialect.RESUME_AFTER).get(),
                    is("1"));
        }
    }

    private static ForwardingHarness harness(Function<Received, Answer> first) throws Exception {
        return new ForwardingHarness(first, received -> new Answer("", Ending.RESET));
    }

    private static Answer silent(Received received, String before, String after) {
        return new Answer(head(received, before + after) + before, SILENCE_MILLIS, after);
    }

    private static String head(Received received, String body) {
        return CutAnswer.head(Framing.LENGTH, ForwardingHarness.requestId(received), List.of(body));
    }
}
