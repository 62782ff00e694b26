package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MessagePackWriter;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the messages by which instances learn of the group, upstreams and quarantined parts. */
final class WatchCodecTest {
    private static final List<QuarantineVerdict> VERDICTS =
            List.of(
                    new QuarantineVerdict("5c1e07a2", 1_796_000_000_000L, false, 12),
                    new QuarantineVerdict("91bd3f06+e4402b7d", 1_796_000_000_001L, true, 3_600));

    /** Guards against verdicts that are lost on the way to a control instance. */
    @Test
    void requestKeepsItsVerdicts() {
        WatchRequest request = request(VERDICTS);
        assertThat(WatchRequest.decode(request.encode()).get(), is(request));
    }

    /** Guards against verdicts that are lost on the way to a watcher. */
    @Test
    void responseKeepsItsVerdicts() {
        WatchResponse response = response(VERDICTS);
        assertThat(WatchResponse.decode(response.encode()).get(), is(response));
    }

    /**
     * Guards against polls that grow, several for each instance and second, with nothing to say.
     */
    @Test
    void messagesWithoutVerdictsCarryTwoBytesForThem() {
        Bytes requestWithoutField =
                new MessagePackWriter()
                        .writeLong(7)
                        .writeLong(1)
                        .writeLong(9)
                        .writeBoolean(true)
                        .writeBoolean(false)
                        .writeLong(1_000)
                        .toBytes();
        assertThat(
                new WatchRequest(7, 1, 9, 0, List.of(), true, false, 1_000).encode().size(),
                is(requestWithoutField.size() + 2));
        Bytes responseWithoutField =
                new MessagePackWriter()
                        .writeLong(4)
                        .writeBoolean(true)
                        .writeList(List.of("a"), MessagePackWriter::writeString)
                        .writeLong(3)
                        .writeLong(2)
                        .writeArrayHeader(0)
                        .writeArrayHeader(0)
                        .writeLong(1)
                        .writeLong(8)
                        .writeArrayHeader(0)
                        .toBytes();
        assertThat(
                new WatchResponse(
                                4,
                                true,
                                List.of(new InstanceId("a")),
                                3,
                                2,
                                List.of(),
                                Optional.empty(),
                                1,
                                8,
                                List.of(),
                                0,
                                List.of())
                        .encode()
                        .size(),
                is(responseWithoutField.size() + 2));
    }

    /** Guards against verdicts that fill the links when many parts are quarantined. */
    @Test
    void fullDirectoryFitsIntoOneSmallMessage() {
        List<QuarantineVerdict> verdicts =
                IntStream.range(0, QuarantineDirectory.MAXIMUM_PARTS)
                        .mapToObj(
                                index ->
                                        new QuarantineVerdict(
                                                String.format("%08x", index),
                                                1_796_000_000_000L + index,
                                                false,
                                                60_000))
                        .toList();
        assertThat(response(verdicts).encode().size(), lessThanOrEqualTo(8 * 1024));
    }

    /** Guards against ages that put an event into the future, which would never expire. */
    @Test
    void negativeAgeIsMalformed() {
        List<QuarantineVerdict> verdicts = List.of(new QuarantineVerdict("5c1e", 1, false, -1));
        assertThat(WatchRequest.decode(request(verdicts).encode()).isLeft(), is(true));
        assertThat(WatchResponse.decode(response(verdicts).encode()).isLeft(), is(true));
    }

    private static WatchRequest request(List<QuarantineVerdict> verdicts) {
        return new WatchRequest(7, 1, 9, 5, verdicts, true, false, 1_000);
    }

    private static WatchResponse response(List<QuarantineVerdict> verdicts) {
        return new WatchResponse(
                4,
                false,
                List.of(new InstanceId("a"), new InstanceId("b")),
                3,
                2,
                List.of(new InstanceId("c")),
                Optional.empty(),
                1,
                8,
                List.of(),
                6,
                verdicts);
    }
}
