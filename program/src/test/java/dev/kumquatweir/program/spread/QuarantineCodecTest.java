package dev.kumquatweir.program.spread;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.quarantine.ExclusiveUse;
import dev.kumquatweir.policy.quarantine.QuarantineMark;
import dev.kumquatweir.policy.quarantine.SuspicionState;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class QuarantineCodecTest {
    private static final ExclusiveUse USE =
            new ExclusiveUse(new UpstreamId("engine-2"), 7, "hash", "entry-1", true, 3);

    /** Guards against updates that reach other instances changed. */
    @Test
    void updatesRoundTrip() {
        QuarantineUpdate update = new QuarantineUpdate(List.of(mark("hash", 5)), List.of(USE));
        assertThat(QuarantineCodec.decode(QuarantineCodec.encode(update)).get(), is(update));
    }

    /** Guards against truncated or prolonged frames that are taken in part. */
    @Test
    void truncatedAndExtendedFramesAreRefused() {
        byte[] frame =
                QuarantineCodec.encode(new QuarantineUpdate(List.of(mark("hash", 5)), List.of(USE)))
                        .toArray();
        for (int size = 0; size < frame.length; size++) {
            assertThat(refused(Arrays.copyOf(frame, size)), is(true));
        }
        assertThat(refused(Arrays.copyOf(frame, frame.length + 1)), is(true));
    }

    /** Guards against a peer that fills the memory, or keeps a mark alive for ever. */
    @Test
    void updatesBeyondTheBoundsAreRefused() {
        assertThat(refused(List.of(mark("h".repeat(257), 5))), is(true));
        assertThat(refused(List.of(mark("hash", 0))), is(true));
        assertThat(refused(List.of(mark("hash", Long.MAX_VALUE))), is(true));
        List<QuarantineMark> most =
                Collections.nCopies(QuarantineCodec.MAXIMUM_MARKS, mark("hash", 5));
        assertThat(refused(most), is(false));
        List<QuarantineMark> more =
                Collections.nCopies(QuarantineCodec.MAXIMUM_MARKS + 1, mark("hash", 5));
        assertThat(refused(more), is(true));
    }

    private static boolean refused(List<QuarantineMark> marks) {
        return refused(QuarantineCodec.encode(new QuarantineUpdate(marks, List.of())).toArray());
    }

    private static boolean refused(byte[] frame) {
        return QuarantineCodec.decode(Bytes.copyOf(frame)).isLeft();
    }

    private static QuarantineMark mark(String hash, long remainingNanos) {
        UpstreamIncarnation incarnation = new UpstreamIncarnation(new UpstreamId("engine-1"), 1);
        return new QuarantineMark(
                hash,
                Map.of(
                        incarnation,
                        new QuarantineMark.Suspicion(SuspicionState.CONFIRMED, remainingNanos)));
    }
}
