package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Splitting of an event stream, also where an upstream stops in the middle of an event. */
final class EventStreamSplitterTest {
    private static final String STREAM = "id: 4\ndata: a\n\nid: 5\ndata: bc\n\n";

    /** Guards against events that depend on how their bytes are split into reads. */
    @Test
    void bytesFedOneByOneYieldTheSameEvents() {
        EventStreamSplitter splitter = new EventStreamSplitter();
        List<String> contents = new ArrayList<>();
        List<Long> ids = new ArrayList<>();
        for (byte next : STREAM.getBytes(StandardCharsets.UTF_8)) {
            splitter.feed(new byte[] {next})
                    .forEach(
                            event -> {
                                contents.add(event.content().toText());
                                ids.add(event.id());
                            });
        }
        assertThat(contents, contains("id: 4\ndata: a\n\n", "id: 5\ndata: bc\n\n"));
        assertThat(ids, contains(4L, 5L));
        assertThat(splitter.hasPartialEvent(), is(false));
    }

    /** Guards against forwarding a partial event when an upstream fails in the middle of it. */
    @Test
    void partialEventIsNotReturned() {
        EventStreamSplitter splitter = new EventStreamSplitter();
        assertThat(
                splitter.feed("id: 1\ndata: x\n".getBytes(StandardCharsets.UTF_8)).size(), is(0));
        assertThat(splitter.hasPartialEvent(), is(true));
    }

    /** Guards against parsing an id that only starts with digits as a number. */
    @Test
    void nonNumericIdIsTreatedAsAbsent() {
        EventStreamSplitter splitter = new EventStreamSplitter();
        byte[] event = "id: 1x\ndata: x\n\n".getBytes(StandardCharsets.UTF_8);
        assertThat(splitter.feed(event).get(0).id(), is(EventStreamSplitter.NO_ID));
    }

    /** Guards against giving up a sound stream for a field that the splitter doesn't know. */
    @Test
    void additionalFieldsBelongToTheEvent() {
        EventStreamSplitter splitter = new EventStreamSplitter();
        byte[] event = "model-revision: 3\nid: 1\ndata: x\n\n".getBytes(StandardCharsets.UTF_8);
        assertThat(splitter.feed(event).get(0).id(), is(1L));
        assertThat(splitter.malformed(), is(false));
    }
}
