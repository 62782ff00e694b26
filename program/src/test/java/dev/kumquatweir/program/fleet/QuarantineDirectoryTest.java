package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.policy.placement.QuarantinedPart;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests verdicts that arrive late, twice, in another order or in large numbers. */
final class QuarantineDirectoryTest {
    private static final InstanceId PEER = new InstanceId("peer");
    private static final String PART = "5c1e07a2";
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long RETENTION_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(QuarantineDirectory.RETENTION_NANOS);

    /** Far below zero, as a monotonic clock may be. */
    private static final long START_NANOS = -1_000_000 * SECOND_NANOS;

    private final QuarantineDirectory mDirectory = new QuarantineDirectory();

    /** Guards against a quarantine that never ends, as each message makes its age younger. */
    @Test
    void repeatedVerdictDoesNotChangeTheTimeOfTheCrash() {
        mDirectory.merge(PEER, List.of(verdict(100, false, 500)), START_NANOS);
        long revision = mDirectory.revision();
        mDirectory.merge(PEER, List.of(verdict(100, false, 500)), START_NANOS + 9 * SECOND_NANOS);
        assertThat(mDirectory.revision(), is(revision));
        assertThat(
                mDirectory.quarantinedParts(START_NANOS + 9 * SECOND_NANOS),
                is(List.of(new QuarantinedPart(PART, 9_500))));
    }

    /** Guards against a withdrawn quarantine that an older copy brings back. */
    @Test
    void olderQuarantineDoesNotReviveWithdrawnOne() {
        mDirectory.merge(PEER, List.of(verdict(100, false, 500)), START_NANOS);
        mDirectory.merge(PEER, List.of(verdict(101, true, 0)), START_NANOS);
        mDirectory.merge(PEER, List.of(verdict(100, false, 0)), START_NANOS + SECOND_NANOS);
        assertThat(mDirectory.isQuarantined(PART, START_NANOS + SECOND_NANOS), is(false));
    }

    /** Guards against missing a part that crashes upstreams again after it was withdrawn. */
    @Test
    void laterCrashPrevailsOverWithdrawal() {
        mDirectory.merge(PEER, List.of(verdict(101, true, 0)), START_NANOS);
        mDirectory.merge(PEER, List.of(verdict(102, false, 0)), START_NANOS + SECOND_NANOS);
        assertThat(mDirectory.isQuarantined(PART, START_NANOS + SECOND_NANOS), is(true));
    }

    /** Guards against instances that keep different verdicts, depending on the order of arrival. */
    @Test
    void orderOfArrivalDoesNotMatterForEqualStamps() {
        QuarantineDirectory other = new QuarantineDirectory();
        List<QuarantineVerdict> verdicts = List.of(verdict(7, true, 0), verdict(7, false, 0));
        mDirectory.merge(PEER, verdicts, START_NANOS);
        other.merge(PEER, List.of(verdicts.get(1), verdicts.get(0)), START_NANOS);
        assertThat(mDirectory.isQuarantined(PART, START_NANOS), is(true));
        assertThat(other.isQuarantined(PART, START_NANOS), is(true));
    }

    /** Guards against a withdrawal that is ignored since the leader's wall clock is behind. */
    @Test
    void withdrawalPrevailsWithWallClockBehind() {
        mDirectory.merge(PEER, List.of(verdict(5_000_000, false, 0)), START_NANOS);
        assertThat(
                mDirectory.update(List.of(), List.of(), START_NANOS + SECOND_NANOS, 1_000),
                is(true));
        assertThat(
                mDirectory.changedSince(0, START_NANOS + SECOND_NANOS),
                is(List.of(verdict(5_000_001, true, 0))));
    }

    /** Guards against a message to every instance for each crash and each decision. */
    @Test
    void unchangedReportOfTheSchedulerIsNoChange() {
        assertThat(mDirectory.update(List.of(), List.of(), START_NANOS, 1_000), is(false));
        assertThat(mDirectory.update(report(0), List.of(), START_NANOS, 1_000), is(true));
        assertThat(
                mDirectory.update(report(400), List.of(), START_NANOS + SECOND_NANOS, 2_000),
                is(false));
        assertThat(
                mDirectory.update(report(0), List.of(), START_NANOS + 2 * SECOND_NANOS, 3_000),
                is(true));
        assertThat(mDirectory.changedSince(0, START_NANOS + 2 * SECOND_NANOS), hasSize(1));
    }

    /** Guards against a quarantine without end, and against a copy that revives it. */
    @Test
    void quarantineEndsAfterItsRetention() {
        long endNanos = START_NANOS + QuarantineDirectory.RETENTION_NANOS;
        mDirectory.merge(PEER, List.of(verdict(100, false, 0)), START_NANOS);
        assertThat(mDirectory.isQuarantined(PART, endNanos - 1), is(true));
        assertThat(mDirectory.isQuarantined(PART, endNanos), is(false));
        assertThat(mDirectory.changedSince(0, endNanos), is(empty()));
        mDirectory.expire(endNanos);
        mDirectory.merge(PEER, List.of(verdict(100, false, RETENTION_MILLIS - 5)), endNanos);
        assertThat(mDirectory.isQuarantined(PART, endNanos), is(false));
    }

    /** Guards against a withdrawal that is forgotten while copies of the quarantine exist. */
    @Test
    void withdrawalOutlivesTheQuarantine() {
        long withdrawnNanos = START_NANOS + SECOND_NANOS;
        mDirectory.merge(PEER, List.of(verdict(100, false, 0)), START_NANOS);
        mDirectory.merge(PEER, List.of(verdict(101, true, 0)), withdrawnNanos);
        long endNanos = START_NANOS + QuarantineDirectory.RETENTION_NANOS;
        mDirectory.expire(endNanos);
        assertThat(mDirectory.changedSince(0, endNanos), hasSize(1));
        mDirectory.merge(PEER, List.of(verdict(100, false, 0)), endNanos);
        assertThat(mDirectory.isQuarantined(PART, endNanos), is(false));
    }

    /** Guards against memory and messages that grow with the number of parts. */
    @Test
    void numberOfPartsIsBounded() {
        mDirectory.merge(PEER, numberedVerdicts(0, 3 * QuarantineDirectory.MAXIMUM_PARTS), 0);
        assertThat(mDirectory.changedSince(0, 0), hasSize(QuarantineDirectory.MAXIMUM_PARTS));
        assertThat(
                mDirectory.quarantinedCount(),
                lessThanOrEqualTo(QuarantineDirectory.MAXIMUM_PARTS));
    }

    /** Guards against a full directory that ignores the part that crashes upstreams now. */
    @Test
    void fullDirectoryDropsTheOldestCrash() {
        int maximum = QuarantineDirectory.MAXIMUM_PARTS;
        mDirectory.merge(PEER, numberedVerdicts(0, maximum), 0);
        mDirectory.merge(PEER, List.of(verdict(100, false, 0)), 0);
        assertThat(mDirectory.isQuarantined(PART, 0), is(true));
        assertThat(mDirectory.isQuarantined("part-" + (maximum - 1), 0), is(false));
    }

    /** Guards against entries that replace each other in each decision of the scheduler. */
    @Test
    void reportOfMoreThanTheMaximumSettles() {
        List<QuarantinedPart> parts =
                numberedVerdicts(0, 2 * QuarantineDirectory.MAXIMUM_PARTS).stream()
                        .map(each -> new QuarantinedPart(each.part(), each.ageMillis()))
                        .toList();
        mDirectory.update(parts, List.of(), 0, 1_000);
        assertThat(mDirectory.update(parts, List.of(), 0, 1_000), is(false));
    }

    /** Guards against texts of any length that are kept and sent. */
    @Test
    void overlongPartIsIgnored() {
        String part = "a".repeat(QuarantineDirectory.MAXIMUM_PART_LENGTH + 1);
        assertThat(
                mDirectory.merge(PEER, List.of(new QuarantineVerdict(part, 1, false, 0)), 0),
                is(empty()));
    }

    private static List<QuarantinedPart> report(long ageMillis) {
        return List.of(new QuarantinedPart(PART, ageMillis));
    }

    private static QuarantineVerdict verdict(long stamp, boolean cleared, long ageMillis) {
        return new QuarantineVerdict(PART, stamp, cleared, ageMillis);
    }

    private static List<QuarantineVerdict> numberedVerdicts(int first, int end) {
        return IntStream.range(first, end)
                .mapToObj(index -> new QuarantineVerdict("part-" + index, 1, false, 2_000L * index))
                .toList();
    }
}
