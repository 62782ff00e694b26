package dev.kumquatweir.agreement.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigurationLeaseTest {
    private static final long MILLISECOND_NANOS = 1_000_000;
    private static final long LEADER_LEASE_NANOS = 500 * MILLISECOND_NANOS;
    private static final long LEASE_WITH_MARGIN_NANOS =
            LeaseTimes.STANDARD.leaseNanosWithDriftMargin();
    private static final Bytes DOCUMENT = Bytes.ofText("document");
    private static final InstanceId INSTANCE = new InstanceId("entry-1");

    private final ConfigurationLeaseTable mTable =
            new ConfigurationLeaseTable(LeaseTimes.STANDARD, 2);
    private final ConfigurationLeaseHolder mHolder =
            new ConfigurationLeaseHolder(INSTANCE, 77, LeaseTimes.STANDARD, 0);

    @BeforeEach
    void lead() {
        mTable.beginLeadership(0);
    }

    // Guards against a lease counted from the arrival of a delayed grant instead of from the
    // request.
    @Test
    void leaseIsCountedFromTheRequest() {
        LeaseRequest request = mHolder.newRequest(100 * MILLISECOND_NANOS);
        LeaseGrant grant = grant(request, 1, 900 * MILLISECOND_NANOS).orElseThrow();
        assertThat(mHolder.onGrant(grant), is(true));
        assertThat(mHolder.maySend(1_599 * MILLISECOND_NANOS), is(true));
        assertThat(mHolder.maySend(1_600 * MILLISECOND_NANOS), is(false));
    }

    // Guards against leases granted by a leader that may have been replaced.
    @Test
    void nothingIsGrantedWithoutLeaderLease() {
        LeaseRequest request = mHolder.newRequest(0);
        assertThat(mTable.grant(request, 0, 1, DOCUMENT, 0), equalTo(Optional.empty()));
        mTable.endLeadership();
        assertThat(grant(request, 1, 0), equalTo(Optional.empty()));
        assertThat(mTable.status(1, 0), instanceOf(RolloutStatus.NotLeading.class));
    }

    // Guards against reporting a version as in force while an instance may still use an older one
    // under a lease of an earlier leader.
    @Test
    void newLeaderWaitsOneLeaseBeforeItReports() {
        assertThat(
                mTable.status(1, LEASE_WITH_MARGIN_NANOS - 1),
                instanceOf(RolloutStatus.Waiting.class));
        assertThat(
                mTable.status(1, LEASE_WITH_MARGIN_NANOS), instanceOf(RolloutStatus.InForce.class));
    }

    // Guards against reporting a version as in force while an instance that has not acknowledged it
    // still has a lease.
    @Test
    void versionIsInForceOnceAcknowledgedOrExpired() {
        long now = 10_000 * MILLISECOND_NANOS;
        grant(mHolder.newRequest(now), 1, now).ifPresent(mHolder::onGrant);
        RolloutStatus waiting = mTable.status(2, now);
        assertThat(((RolloutStatus.Waiting) waiting).instances().first(), equalTo(INSTANCE));
        assertThat(
                mTable.status(2, now + LEASE_WITH_MARGIN_NANOS),
                instanceOf(RolloutStatus.InForce.class));
        LeaseRequest behind = mHolder.newRequest(now + MILLISECOND_NANOS);
        grant(behind, 2, now + MILLISECOND_NANOS).ifPresent(mHolder::onGrant);
        assertThat(
                mTable.status(2, now + MILLISECOND_NANOS), instanceOf(RolloutStatus.Waiting.class));
        grant(mHolder.newRequest(now + 2 * MILLISECOND_NANOS), 2, now + 2 * MILLISECOND_NANOS);
        assertThat(
                mTable.status(2, now + 2 * MILLISECOND_NANOS),
                instanceOf(RolloutStatus.InForce.class));
    }

    // Guards against overlooking an old process that still runs besides a new one of the same name.
    @Test
    void acknowledgementDoesNotCoverAnEarlierProcess() {
        long now = 10_000 * MILLISECOND_NANOS;
        grant(new LeaseRequest(INSTANCE, 1, 1, 1), 1, now);
        grant(new LeaseRequest(INSTANCE, 2, 1, 2), 2, now);
        assertThat(mTable.status(2, now), instanceOf(RolloutStatus.Waiting.class));
    }

    // Guards against a delayed grant, or one for another process, that lowers the version or
    // extends
    // the lease.
    @Test
    void staleGrantsChangeNothing() {
        LeaseRequest first = mHolder.newRequest(0);
        LeaseGrant old = grant(first, 1, 0).orElseThrow();
        grant(mHolder.newRequest(MILLISECOND_NANOS), 2, MILLISECOND_NANOS)
                .ifPresent(mHolder::onGrant);
        assertThat(mHolder.onGrant(old), is(false));
        assertThat(mHolder.version(), equalTo(2L));
        LeaseGrant foreign =
                new LeaseGrant(
                        INSTANCE, 78, 3, 3, Optional.of(DOCUMENT), 1_500 * MILLISECOND_NANOS);
        mHolder.newRequest(2 * MILLISECOND_NANOS);
        assertThat(mHolder.onGrant(foreign), is(false));
        LeaseGrant withoutDocument =
                new LeaseGrant(INSTANCE, 77, 3, 3, Optional.empty(), 1_500 * MILLISECOND_NANOS);
        assertThat(mHolder.onGrant(withoutDocument), is(false));
        assertThat(mHolder.version(), equalTo(2L));
    }

    // Guards against requests that arrive out of order and lower the acknowledged version.
    @Test
    void olderRequestDoesNotLowerTheAcknowledgedVersion() {
        long now = 10_000 * MILLISECOND_NANOS;
        grant(new LeaseRequest(INSTANCE, 1, 2, 2), 2, now);
        grant(new LeaseRequest(INSTANCE, 1, 1, 1), 2, now);
        assertThat(mTable.status(2, now), instanceOf(RolloutStatus.InForce.class));
    }

    // Guards against unbounded growth of the table, and against a granted lease that is not in it.
    @Test
    void fullTableRefusesUntilLeaseEnds() {
        grant(new LeaseRequest(INSTANCE, 1, 1, 1), 1, 0);
        grant(new LeaseRequest(INSTANCE, 2, 1, 1), 1, 0);
        LeaseRequest third = new LeaseRequest(INSTANCE, 3, 1, 1);
        assertThat(grant(third, 1, 0), equalTo(Optional.empty()));
        mTable.release(INSTANCE, 1);
        assertThat(grant(third, 1, 0).isPresent(), is(true));
        assertThat(
                grant(new LeaseRequest(INSTANCE, 4, 1, 1), 1, LEASE_WITH_MARGIN_NANOS).isPresent(),
                is(true));
    }

    // Guards against requests sent after a planned stop, when a delayed grant arrives for a lease
    // that
    // was given up.
    @Test
    void surrenderedLeaseIsNotRevivedByLateGrants() {
        LeaseGrant late = grant(mHolder.newRequest(0), 1, 0).orElseThrow();
        mHolder.surrender(MILLISECOND_NANOS);
        assertThat(mHolder.onGrant(late), is(false));
        assertThat(mHolder.maySend(2 * MILLISECOND_NANOS), is(false));
    }

    private Optional<LeaseGrant> grant(LeaseRequest request, long version, long now) {
        return mTable.grant(request, LEADER_LEASE_NANOS, version, DOCUMENT, now);
    }
}
