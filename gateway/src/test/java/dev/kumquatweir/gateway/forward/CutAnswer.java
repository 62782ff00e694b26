package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawUpstream;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * An answer of which only the first bytes are sent. Immutable.
 *
 * @param requestId the request that it answers
 * @param framing how the body is framed
 * @param ending what follows the bytes
 * @param content the whole content
 * @param head the whole head
 * @param body the whole body with its framing
 * @param length number of bytes that are sent
 */
record CutAnswer(
        String requestId,
        Framing framing,
        Ending ending,
        Content content,
        String head,
        String body,
        int length) {
    private static final List<Ending> ENDINGS =
            List.of(Ending.CLOSE_SENDING, Ending.RESET, Ending.RESET_LATER);

    private static final int SPARSE_BYTES = 4;

    /**
     * The content of an answer. Immutable.
     *
     * @param parts its parts; in chunks, each part is one
     * @param eventEnds positions after each event and 0; just that for content without events
     */
    record Content(List<String> parts, List<Integer> eventEnds) {
        private static final Pattern EVENT_END = Pattern.compile("\n\n|\r\n\r\n");

        /** Returns content without events. */
        static Content text(String... parts) {
            return new Content(List.of(parts), List.of(0));
        }

        /** Returns a stream of events. */
        static Content events(String... parts) {
            Stream<Integer> ends =
                    EVENT_END.matcher(String.join("", parts)).results().map(MatchResult::end);
            return new Content(List.of(parts), Stream.concat(Stream.of(0), ends).toList());
        }

        String text() {
            return String.join("", parts);
        }

        /** Returns the text up to the end of the event with this number, counted from 1. */
        String firstEvents(int count) {
            return text().substring(0, eventEnds.get(count));
        }

        /** Returns the text after the event with this number. */
        String afterEvent(int count) {
            return text().substring(eventEnds.get(count));
        }
    }

    /**
     * Returns the answer cut at each byte of its body and at each kind of place in its head. Whole
     * answers with a length or in chunks leave their connection open: the next request may reach a
     * connection that ends unannounced.
     */
    static List<CutAnswer> all(Content content) {
        return Arrays.stream(Framing.values())
                .flatMap(
                        framing ->
                                ENDINGS.stream().flatMap(ending -> cuts(content, framing, ending)))
                .toList();
    }

    private static Stream<CutAnswer> cuts(Content content, Framing framing, Ending ending) {
        String body = framing.body(content.parts());
        // Nothing, inside the status line, inside a header, before the empty line and inside it.
        return IntStream.concat(
                        IntStream.of(-1_000, -60, -5, -2, -1),
                        IntStream.rangeClosed(0, body.length())
                                .filter(position -> position % bytesApart(framing, ending) == 0))
                .mapToObj(
                        position -> {
                            String id = framing + "_" + ending + "_" + position;
                            String head = head(framing, id, content.parts());
                            int length = Math.max(0, head.length() + position);
                            boolean whole = position == body.length();
                            return new CutAnswer(
                                    id,
                                    framing,
                                    whole && !framing.endsWithConnection()
                                            ? Ending.KEEP_OPEN
                                            : ending,
                                    content,
                                    head,
                                    body,
                                    length);
                        });
    }

    /**
     * One unframed answer is cut everywhere; the others differ only in their heads. So is one kind
     * of reset; the other may overtake the bytes before it.
     */
    private static int bytesApart(Framing framing, Ending ending) {
        boolean everywhere = framing == Framing.NONE || !framing.endsWithConnection();
        return everywhere && ending != Ending.RESET ? 1 : SPARSE_BYTES;
    }

    /** Returns the head of a successful answer to a request. */
    static String head(Framing framing, String requestId, List<String> parts) {
        return framing.head(200, PlainDialect.REQUEST_ID + ": " + requestId + "\r\n", parts);
    }

    RawUpstream.Answer answer() {
        return new RawUpstream.Answer((head + body).substring(0, length), ending);
    }

    /** Returns whether a reset may overtake the bytes before it. */
    boolean mayLoseBytes() {
        return ending == Ending.RESET;
    }

    /** Returns whether the end of the answer is as its framing wants it. */
    boolean framedWhole() {
        return framing.endsWithConnection()
                ? ending == Ending.CLOSE_SENDING && length >= head.length()
                : length == head.length() + body.length();
    }

    /** Returns the content that was sent. */
    String sentContent() {
        String sent = length <= head.length() ? "" : body.substring(0, length - head.length());
        return framing.content(sent, content.parts());
    }

    /** Returns the number of whole events that were sent. */
    int sentEvents() {
        int size = sentContent().length();
        return (int) content.eventEnds().stream().filter(end -> end <= size).count() - 1;
    }

    /** Returns whether the stream ended as a complete one does: properly, and between events. */
    boolean streamWhole() {
        return framedWhole()
                && sentEvents() > 0
                && content.eventEnds().contains(sentContent().length());
    }
}
