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
    private static final long MILLI = 1_000_000;
    private static final long LEADER_LEASE = 500 * MILLI;
    private static final long WAIT = LeaseTimes.STANDARD.countedNanos();
    private static final Bytes DOCUMENT = Bytes.ofText("document");
    private static final InstanceId NAME = new InstanceId("entry-1");

    private final ConfigurationLeaseTable mTable =
            new ConfigurationLeaseTable(LeaseTimes.STANDARD, 2);
    private final ConfigurationLeaseHolder mHolder =
            new ConfigurationLeaseHolder(NAME, 77, LeaseTimes.STANDARD, 0);

    @BeforeEach
    void lead() {
        mTable.beginLeadership(0);
    }

    // Guards against a lease that is counted from its late arrival.
    @Test
    void leaseEndsCountedFromTheAsk() {
        LeaseAsk ask = mHolder.ask(100 * MILLI);
        LeaseGrant grant = grant(ask, 1, 900 * MILLI).orElseThrow();
        assertThat(mHolder.onGrant(grant), is(true));
        assertThat(mHolder.maySend(1_599 * MILLI), is(true));
        assertThat(mHolder.maySend(1_600 * MILLI), is(false));
    }

    // Guards against leases from a leader that may have been replaced.
    @Test
    void nothingIsGrantedWithoutLeaderLease() {
        LeaseAsk ask = mHolder.ask(0);
        assertThat(mTable.grant(ask, 0, 1, DOCUMENT, 0), equalTo(Optional.empty()));
        mTable.endLeadership();
        assertThat(grant(ask, 1, 0), equalTo(Optional.empty()));
        assertThat(mTable.status(1, 0), instanceOf(ForceStatus.NotLeading.class));
    }

    // Guards against "in force" while an instance serves under a lease of an earlier leader.
    @Test
    void newLeaderWaitsOneLeaseBeforeItReports() {
        assertThat(mTable.status(1, WAIT - 1), instanceOf(ForceStatus.Waiting.class));
        assertThat(mTable.status(1, WAIT), instanceOf(ForceStatus.InForce.class));
    }

    // Guards against "in force" before an instance has the version or its lease has expired.
    @Test
    void versionIsInForceOnceAcknowledgedOrExpired() {
        long now = 10_000 * MILLI;
        grant(mHolder.ask(now), 1, now).ifPresent(mHolder::onGrant);
        ForceStatus waiting = mTable.status(2, now);
        assertThat(((ForceStatus.Waiting) waiting).instances().first(), equalTo(NAME));
        assertThat(mTable.status(2, now + WAIT), instanceOf(ForceStatus.InForce.class));
        LeaseAsk behind = mHolder.ask(now + MILLI);
        grant(behind, 2, now + MILLI).ifPresent(mHolder::onGrant);
        assertThat(mTable.status(2, now + MILLI), instanceOf(ForceStatus.Waiting.class));
        grant(mHolder.ask(now + 2 * MILLI), 2, now + 2 * MILLI);
        assertThat(mTable.status(2, now + 2 * MILLI), instanceOf(ForceStatus.InForce.class));
    }

    // Guards against an old process of the same name that still serves beside the new one.
    @Test
    void restartedProcessDoesNotAnswerForTheOldOne() {
        long now = 10_000 * MILLI;
        grant(new LeaseAsk(NAME, 1, 1, 1), 1, now);
        grant(new LeaseAsk(NAME, 2, 1, 2), 2, now);
        assertThat(mTable.status(2, now), instanceOf(ForceStatus.Waiting.class));
    }

    // Guards against a late or foreign grant that takes the version back or extends the lease.
    @Test
    void staleGrantsChangeNothing() {
        LeaseAsk first = mHolder.ask(0);
        LeaseGrant old = grant(first, 1, 0).orElseThrow();
        grant(mHolder.ask(MILLI), 2, MILLI).ifPresent(mHolder::onGrant);
        assertThat(mHolder.onGrant(old), is(false));
        assertThat(mHolder.version(), equalTo(2L));
        LeaseGrant foreign = new LeaseGrant(NAME, 78, 3, 3, Optional.of(DOCUMENT), 1_500 * MILLI);
        mHolder.ask(2 * MILLI);
        assertThat(mHolder.onGrant(foreign), is(false));
        LeaseGrant withoutDocument =
                new LeaseGrant(NAME, 77, 3, 3, Optional.empty(), 1_500 * MILLI);
        assertThat(mHolder.onGrant(withoutDocument), is(false));
        assertThat(mHolder.version(), equalTo(2L));
    }

    // Guards against acknowledgements taken back by asks that arrive out of order.
    @Test
    void olderAskDoesNotTakeAnAcknowledgementBack() {
        long now = 10_000 * MILLI;
        grant(new LeaseAsk(NAME, 1, 2, 2), 2, now);
        grant(new LeaseAsk(NAME, 1, 1, 1), 2, now);
        assertThat(mTable.status(2, now), instanceOf(ForceStatus.InForce.class));
    }

    // Guards against a table that grows without bound, and against a lease without an entry.
    @Test
    void fullTableRefusesUntilOneExpires() {
        grant(new LeaseAsk(NAME, 1, 1, 1), 1, 0);
        grant(new LeaseAsk(NAME, 2, 1, 1), 1, 0);
        LeaseAsk third = new LeaseAsk(NAME, 3, 1, 1);
        assertThat(grant(third, 1, 0), equalTo(Optional.empty()));
        mTable.release(NAME, 1);
        assertThat(grant(third, 1, 0).isPresent(), is(true));
        assertThat(grant(new LeaseAsk(NAME, 4, 1, 1), 1, WAIT).isPresent(), is(true));
    }

    // Guards against work sent after a planned stop gave the lease back.
    @Test
    void surrenderedLeaseIsNotRevivedByLateGrants() {
        LeaseGrant late = grant(mHolder.ask(0), 1, 0).orElseThrow();
        mHolder.surrender(MILLI);
        assertThat(mHolder.onGrant(late), is(false));
        assertThat(mHolder.maySend(2 * MILLI), is(false));
    }

    private Optional<LeaseGrant> grant(LeaseAsk ask, long version, long now) {
        return mTable.grant(ask, LEADER_LEASE, version, DOCUMENT, now);
    }
}
