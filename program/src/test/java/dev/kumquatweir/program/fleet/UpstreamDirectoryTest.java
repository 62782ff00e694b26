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

/** Tests heartbeats that arrive late, twice, or after their sender has been replaced. */
final class UpstreamDirectoryTest {
    private static final UpstreamId FIRST = new UpstreamId("i-1");
    private static final UpstreamId SECOND = new UpstreamId("i-2");
    private static final String ADDRESS = "10.0.0.1:8000";

    private final UpstreamDirectory mDirectory = new UpstreamDirectory();

    /** Guards against a delayed heartbeat that makes a draining upstream ready again. */
    @Test
    void statusWithOlderSequenceIsIgnored() {
        mDirectory.update(status(FIRST, 1, 5, UpstreamPhase.DRAINING), 0);
        assertThat(
                mDirectory.update(status(FIRST, 1, 4, UpstreamPhase.READY), 1),
                is(UpstreamDirectory.Change.NONE));
        assertThat(phase(FIRST), is(UpstreamPhase.DRAINING));
    }

    /** Guards against ignoring a restart under a known id, whose sequence starts again. */
    @Test
    void laterStartUnderTheSameIdReplacesTheEarlierOne() {
        mDirectory.update(status(FIRST, 1, 50, UpstreamPhase.READY), 0);
        mDirectory.markLeft(FIRST, 1, 1);
        assertThat(
                mDirectory.update(status(FIRST, 2, 1, UpstreamPhase.READY), 2),
                is(UpstreamDirectory.Change.STATE));
        assertThat(phase(FIRST), is(UpstreamPhase.READY));
    }

    /** Guards against placing work on an upstream whose last heartbeat arrives after it left. */
    @Test
    void heartbeatAfterTheLeaveIsIgnored() {
        mDirectory.update(status(FIRST, 1, 3, UpstreamPhase.READY), 0);
        mDirectory.markLeft(FIRST, 0, 1);
        mDirectory.update(status(FIRST, 1, 9, UpstreamPhase.READY), 2);
        assertThat(phase(FIRST), is(UpstreamPhase.GONE));
    }

    /** Guards against a departure that is ignored where a later heartbeat is known. */
    @Test
    void departureReplacesHeartbeatsThatItsInstanceDidNotKnow() {
        UpstreamDirectory other = new UpstreamDirectory();
        other.update(status(FIRST, 1, 3, UpstreamPhase.READY), 0);
        mDirectory.update(status(FIRST, 1, 5, UpstreamPhase.READY), 0);
        UpstreamDirectory.Departure left = other.markLeft(FIRST, 1, 1);
        UpstreamStatus gone = ((UpstreamDirectory.Departure.Recorded) left).status();
        assertThat(mDirectory.update(gone, 2), is(UpstreamDirectory.Change.STATE));
        mDirectory.update(status(FIRST, 1, 6, UpstreamPhase.READY), 3);
        assertThat(phase(FIRST), is(UpstreamPhase.GONE));
    }

    /** Guards against a departure that is confirmed by an instance that can't pass it on. */
    @Test
    void departureOfUnknownStartIsNotRecorded() {
        assertThat(mDirectory.markLeft(FIRST, 1, 0), is(new UpstreamDirectory.Departure.Unknown()));
        assertThat(mDirectory.markLeft(FIRST, 0, 0), is(new UpstreamDirectory.Departure.Unknown()));
        mDirectory.update(status(FIRST, 7, 1, UpstreamPhase.READY), 0);
        assertThat(mDirectory.markLeft(FIRST, 9, 1), is(new UpstreamDirectory.Departure.Unknown()));
        assertThat(phase(FIRST), is(UpstreamPhase.READY));
    }

    /** Guards against an upstream that asks in vain to be told that it may leave. */
    @Test
    void repeatedOrOutdatedDepartureIsConfirmed() {
        mDirectory.update(status(FIRST, 7, 1, UpstreamPhase.READY), 0);
        assertThat(
                mDirectory.markLeft(FIRST, 5, 1), is(new UpstreamDirectory.Departure.Repeated()));
        assertThat(phase(FIRST), is(UpstreamPhase.READY));
        mDirectory.markLeft(FIRST, 7, 1);
        assertThat(
                mDirectory.markLeft(FIRST, 7, 1), is(new UpstreamDirectory.Departure.Repeated()));
    }

    /** Guards against sending requests to a crashed upstream whose address was reused. */
    @Test
    void newerUpstreamAtTheSameAddressMarksTheOlderOneGone() {
        mDirectory.update(status(FIRST, 1, 3, UpstreamPhase.READY), 0);
        mDirectory.update(status(SECOND, 2, 1, UpstreamPhase.READY), 1);
        assertThat(phase(FIRST), is(UpstreamPhase.GONE));
        mDirectory.update(status(FIRST, 1, 7, UpstreamPhase.READY), 2);
        assertThat(phase(FIRST), is(UpstreamPhase.GONE));
        assertThat(phase(SECOND), is(UpstreamPhase.READY));
    }

    /** Guards against sending the same statuses to watchers repeatedly. */
    @Test
    void onlyStatusesAfterTheRevisionAreReturned() {
        mDirectory.update(status(FIRST, 1, 1, UpstreamPhase.READY), 0);
        long known = mDirectory.revision();
        assertThat(mDirectory.changedSince(known, 1), hasSize(0));
        mDirectory.update(status(SECOND, 2, 1, UpstreamPhase.READY), 1);
        assertThat(mDirectory.changedSince(known, 1), hasSize(2));
    }

    private UpstreamPhase phase(UpstreamId id) {
        Optional<UpstreamStatus> status = mDirectory.find(id);
        return status.orElseThrow().phase();
    }

    private static UpstreamStatus status(
            UpstreamId id, long startedAtMillis, long sequence, UpstreamPhase phase) {
        return new UpstreamStatus(
                id,
                startedAtMillis,
                new ServiceName("engines"),
                ADDRESS,
                new FailureDomain("a"),
                11,
                phase,
                0,
                sequence);
    }
}
