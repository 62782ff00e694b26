package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Heartbeats that arrive late, twice, or after their sender has been replaced. */
final class UpstreamDirectoryTest {
    private static final UpstreamId FIRST = new UpstreamId("i-1");
    private static final UpstreamId SECOND = new UpstreamId("i-2");
    private static final String ADDRESS = "10.0.0.1:8000";

    private final UpstreamDirectory mDirectory = new UpstreamDirectory();

    /** Guards against a delayed heartbeat that makes a draining upstream ready again. */
    @Test
    void olderSequenceChangesNothing() {
        mDirectory.hear(notice(FIRST, 1, 5, UpstreamPhase.DRAINING), 0);
        assertThat(
                mDirectory.hear(notice(FIRST, 1, 4, UpstreamPhase.READY), 1),
                is(UpstreamDirectory.Change.NONE));
        assertThat(phase(FIRST), is(UpstreamPhase.DRAINING));
    }

    /** Guards against a start under a known id whose counts begin anew and that is ignored. */
    @Test
    void laterStartUnderTheSameIdCounts() {
        mDirectory.hear(notice(FIRST, 1, 50, UpstreamPhase.READY), 0);
        mDirectory.leave(FIRST, 1, 1);
        assertThat(
                mDirectory.hear(notice(FIRST, 2, 1, UpstreamPhase.READY), 2),
                is(UpstreamDirectory.Change.STATE));
        assertThat(phase(FIRST), is(UpstreamPhase.READY));
    }

    /** Guards against work for an upstream that has left and whose last heartbeat comes later. */
    @Test
    void heartbeatAfterTheLeaveIsIgnored() {
        mDirectory.hear(notice(FIRST, 1, 3, UpstreamPhase.READY), 0);
        mDirectory.leave(FIRST, 0, 1);
        mDirectory.hear(notice(FIRST, 1, 9, UpstreamPhase.READY), 2);
        assertThat(phase(FIRST), is(UpstreamPhase.GONE));
    }

    /** Guards against requests for a crashed upstream whose address belongs to another one. */
    @Test
    void newerUpstreamAtTheAddressEndsTheOlderOne() {
        mDirectory.hear(notice(FIRST, 1, 3, UpstreamPhase.READY), 0);
        mDirectory.hear(notice(SECOND, 2, 1, UpstreamPhase.READY), 1);
        assertThat(phase(FIRST), is(UpstreamPhase.GONE));
        mDirectory.hear(notice(FIRST, 1, 7, UpstreamPhase.READY), 2);
        assertThat(phase(FIRST), is(UpstreamPhase.GONE));
        assertThat(phase(SECOND), is(UpstreamPhase.READY));
    }

    /** Guards against watchers that are told the same again and again. */
    @Test
    void onlyNoticesAfterTheRevisionAreTold() {
        mDirectory.hear(notice(FIRST, 1, 1, UpstreamPhase.READY), 0);
        long known = mDirectory.revision();
        assertThat(mDirectory.since(known, 1), hasSize(0));
        mDirectory.hear(notice(SECOND, 2, 1, UpstreamPhase.READY), 1);
        assertThat(mDirectory.since(known, 1), hasSize(2));
    }

    private UpstreamPhase phase(UpstreamId id) {
        Optional<UpstreamStatus> notice = mDirectory.find(id);
        return notice.orElseThrow().phase();
    }

    private static UpstreamStatus notice(
            UpstreamId id, long born, long sequence, UpstreamPhase phase) {
        return new UpstreamStatus(
                id,
                born,
                new ServiceName("engines"),
                ADDRESS,
                new FailureDomain("a"),
                11,
                phase,
                0,
                sequence);
    }
}
