package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Streams that are resumed after an event that may have been their last one. */
final class ResumedStreamWithoutEventsTest {
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final String AFTER_SECOND = PlainDialect.RESUME_AFTER + ": 2\r\n";

    /** Guards against a caller that gets no answer at all, because it has all events already. */
    @Test
    void callerThatHasAllEventsGetsAnEmptyStream() throws Exception {
        List<String> events = List.of(FIRST, SECOND);
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> answer(received, Framing.CHUNKS, events),
                        received -> answer(received, Framing.CHUNKS, events))) {
            RawCaller.Response response =
                    harness.call(ForwardingHarness.RESUMABLE, "request", AFTER_SECOND, "");
            assertThat(response.toString(), is("200 complete "));
            assertThat(harness.first().requests(), hasSize(1));
        }
    }

    private static Answer answer(Received received, Framing framing, List<String> parts) {
        String head = CutAnswer.head(framing, ForwardingHarness.requestId(received), parts);
        Ending ending = framing.endsWithConnection() ? Ending.CLOSE_SENDING : Ending.KEEP_OPEN;
        return new Answer(head + framing.body(parts), ending);
    }
}
