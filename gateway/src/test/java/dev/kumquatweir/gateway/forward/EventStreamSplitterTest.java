package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Cutting an event stream where an upstream stops in the middle of an event. */
final class EventStreamSplitterTest {
    private static final String STREAM = "id: 4\ndata: a\n\nid: 5\ndata: bc\n\n";

    /** Guards against events that change when their bytes arrive in other parts. */
    @Test
    void bytesFedOneAtATimeYieldTheSameEvents() {
        EventStreamSplitter cutter = new EventStreamSplitter();
        List<String> contents = new ArrayList<>();
        List<Long> ids = new ArrayList<>();
        for (byte next : STREAM.getBytes(StandardCharsets.UTF_8)) {
            cutter.feed(new byte[] {next})
                    .forEach(
                            event -> {
                                contents.add(event.content().toText());
                                ids.add(event.id());
                            });
        }
        assertThat(contents, contains("id: 4\ndata: a\n\n", "id: 5\ndata: bc\n\n"));
        assertThat(ids, contains(4L, 5L));
        assertThat(cutter.hasPartialEvent(), is(false));
    }

    /** Guards against an unfinished event that is passed on. */
    @Test
    void partialEventIsNotReturned() {
        EventStreamSplitter cutter = new EventStreamSplitter();
        assertThat(cutter.feed("id: 1\ndata: x\n".getBytes(StandardCharsets.UTF_8)).size(), is(0));
        assertThat(cutter.hasPartialEvent(), is(true));
    }

    /** Guards against a text that is taken for an id. */
    @Test
    void nonNumericIdIsTreatedAsAbsent() {
        EventStreamSplitter cutter = new EventStreamSplitter();
        byte[] event = "id: 1x\ndata: x\n\n".getBytes(StandardCharsets.UTF_8);
        assertThat(cutter.feed(event).get(0).id(), is(EventStreamSplitter.NO_ID));
    }
}
