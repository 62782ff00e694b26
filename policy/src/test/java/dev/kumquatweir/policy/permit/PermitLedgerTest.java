package dev.kumquatweir.policy.permit;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import org.junit.jupiter.api.Test;

class PermitLedgerTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final UpstreamId OTHER = new UpstreamId("engine-2");
    private static final PermitResource COLD = new PermitResource.ColdRequests(ENGINE);
    private static final long START = PermitLedger.LEASE_NANOS;

    private final PermitLedger mLedger = new PermitLedger(new WeightLoadRateLimiter(1, 2, 0), 0);
    private final PermitHolder mFirst = new PermitHolder(new InstanceId("a"), 1);
    private final PermitHolder mSecond = new PermitHolder(new InstanceId("b"), 1);

    /** Guards against permits granted twice across a change of leader. */
    @Test
    void waitsOneLeaseBeforeItGrantsAndServesRunningWorkFirst() {
        mLedger.setLimit(COLD, 1, 1);
        PermitLedger old = new PermitLedger(new WeightLoadRateLimiter(1, 2, 0), -START);
        old.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        mFirst.acceptGrant(answer(old.renew(mFirst.nextRequest(0), 0)), 0);
        assertThat(mFirst.tryUse("a:1:1", 0), is(true));
        mSecond.claim("b:1:1", parts(COLD, 1));
        assertThat(
                mLedger.renew(mSecond.nextRequest(1), START - 1),
                is(new PermitDecision.Deferred(START)));
        assertThat(
                mLedger.renew(mFirst.nextRequest(1), START - 1),
                is(new PermitDecision.Deferred(START)));
        assertThat(renew(mSecond, START), is(false));
        assertThat(renew(mFirst, START), is(true));
        assertThat(mFirst.isValid("a:1:1", START), is(true));
        assertThat(mSecond.isValid("b:1:1", START), is(false));
    }

    /** Guards against a frozen holder that uses its permits after waking. */
    @Test
    void endsPermitsAtTheirHolderFirst() {
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        PermitRequest request = mFirst.nextRequest(START);
        PermitGrant grant = answer(mLedger.renew(request, START + 200 * MILLI));
        mFirst.acceptGrant(grant, START + 400 * MILLI);
        long end = START + PermitLedger.LEASE_NANOS - PermitHolder.CLOCK_MARGIN_NANOS;
        assertThat(mFirst.tryUse("a:1:1", end - 1), is(true));
        assertThat(mFirst.tryUse("a:1:1", end), is(false));
        mSecond.claim("b:1:1", parts(COLD, 1));
        assertThat(renew(mSecond, end), is(false));
        assertThat(renew(mSecond, START + 200 * MILLI + PermitLedger.LEASE_NANOS), is(true));
    }

    /** Guards against an answer that arrives late and revives what was given back. */
    @Test
    void takesOnlyTheAnswerToTheNewestRequest() {
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        PermitGrant late = answer(mLedger.renew(mFirst.nextRequest(START), START));
        mFirst.release("a:1:1");
        mFirst.claim("a:1:1", parts(COLD, 1));
        assertThat(mFirst.acceptGrant(late, START), is(true));
        assertThat(mFirst.isValid("a:1:1", START), is(false));
        PermitRequest newer = mFirst.nextRequest(START + 1);
        assertThat(mFirst.acceptGrant(late, START + 1), is(false));
        mLedger.renew(newer, START + 1);
        assertThat(mLedger.renew(newer, START + 2), instanceOf(PermitDecision.Outdated.class));
    }

    /** Guards against a restarted upstream that gets the load of its former self. */
    @Test
    void endsPermitsOfAnEarlierIncarnation() {
        mLedger.setLimit(COLD, 1, 2);
        mFirst.claim("a:1:1", parts(COLD, 1));
        mFirst.claim("a:1:2", parts(COLD, 1));
        renew(mFirst, START);
        mFirst.tryUse("a:1:1", START);
        mLedger.setLimit(COLD, 2, 1);
        mSecond.claim("b:1:1", List.of(new PermitPart(COLD, 2, 1)));
        assertThat(renew(mSecond, START + 1), is(false));
        assertThat(mLedger.outstandingAmount(COLD, START + 1), is(2L));
        renew(mFirst, START + 2);
        assertThat(mFirst.refusedInUse(), contains("a:1:1"));
        assertThat(mFirst.releaseOtherIncarnations(ENGINE, 2), contains("a:1:1", "a:1:2"));
        renew(mFirst, START + 3);
        assertThat(renew(mSecond, START + 4), is(true));
    }

    /** Guards against all permits lost, or the oldest work moved, when a limit shrinks. */
    @Test
    void keepsTheOldestWorkWhenTheLimitShrinks() {
        mLedger.setLimit(COLD, 1, 2);
        mFirst.claim("a:1:1", parts(COLD, 1));
        mFirst.claim("a:1:2", parts(COLD, 1));
        renew(mFirst, START);
        mFirst.tryUse("a:1:1", START);
        mFirst.tryUse("a:1:2", START);
        mLedger.setLimit(COLD, 1, 1);
        renew(mFirst, START + 1);
        assertThat(mFirst.isValid("a:1:1", START + 1), is(true));
        assertThat(mFirst.refusedInUse(), contains("a:1:2"));
    }

    /** Guards against a large reservation that small ones keep from ever being granted. */
    @Test
    void letsOlderReservationsGoFirst() {
        PermitResource here = new PermitResource.EngineMemory(ENGINE);
        PermitResource there = new PermitResource.EngineMemory(OTHER);
        mLedger.setLimit(here, 1, 100);
        mLedger.setLimit(there, 1, 100);
        mSecond.claim("small-1", List.of(new PermitPart(there, 1, 50)));
        renew(mSecond, START);
        mFirst.claim("large", List.of(new PermitPart(here, 1, 80), new PermitPart(there, 1, 80)));
        renew(mFirst, START + 1);
        assertThat(mLedger.outstandingAmount(here, START + 1), is(0L));
        mSecond.claim("small-2", List.of(new PermitPart(there, 1, 50)));
        renew(mSecond, START + 2);
        assertThat(mSecond.isValid("small-2", START + 2), is(false));
        mSecond.release("small-1");
        renew(mSecond, START + 3);
        renew(mFirst, START + 4);
        assertThat(mFirst.isValid("large", START + 4), is(true));
    }

    /** Guards against claims that can never be granted blocking all others. */
    @Test
    void passesOverClaimsBeyondTheLimit() {
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("too-much", List.of(new PermitPart(COLD, 1, 2)));
        assertThat(renew(mFirst, START), is(false));
        mSecond.claim("b:1:1", parts(COLD, 1));
        assertThat(renew(mSecond, START + 1), is(true));
    }

    /** Guards against a cold upstream overloaded by work that no permit explains. */
    @Test
    void leavesRoomForWorkThatTheUpstreamReports() {
        mLedger.setLimit(COLD, 1, 2);
        mLedger.recordReportedUse(COLD, 2, START);
        mFirst.claim("a:1:1", parts(COLD, 1));
        assertThat(renew(mFirst, START), is(false));
        assertThat(renew(mFirst, START + PermitLedger.LEASE_NANOS), is(true));
    }

    /** Guards against a weight store asked for more than its rate. */
    @Test
    void spendsLoadsOnceAtTheRateOfTheWeightStore() {
        PermitResource loads = new PermitResource.WeightStoreLoads();
        for (int load = 0; load < 4; load++) {
            mFirst.claim("load-" + load, List.of(new PermitPart(loads, 0, 1)));
        }
        renew(mFirst, START);
        assertThat(mFirst.allowedAmount(loads, START), is(1L));
        mFirst.tryUse("load-0", START);
        renew(mFirst, START + SECOND);
        assertThat(mFirst.allowedAmount(loads, START + SECOND), is(2L));
    }

    /** Guards against idle permits that keep others waiting, and dead holders that do. */
    @Test
    void freesIdlePermitsAndThoseOfRestartedHolders() {
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        renew(mFirst, START);
        assertThat(mFirst.nextRequest(START + PermitHolder.IDLE_TIMEOUT_NANOS).claims(), empty());
        mFirst.claim("a:1:2", parts(COLD, 1));
        renew(mFirst, START + SECOND);
        PermitHolder restarted = new PermitHolder(new InstanceId("a"), 2);
        restarted.claim("a:2:1", parts(COLD, 1));
        assertThat(renew(restarted, START + SECOND + 1), is(true));
        assertThat(
                mLedger.renew(mFirst.nextRequest(START + SECOND + 2), START + SECOND + 2),
                instanceOf(PermitDecision.Outdated.class));
    }

    /** Guards against a permit lost as idle because no leader could be reached for a while. */
    @Test
    void keepsPermitsThatLapsedAndWereGrantedAgain() {
        long idle = PermitHolder.IDLE_TIMEOUT_NANOS;
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        renew(mFirst, START);
        // Asked just before it counts as idle, answered long after it has lapsed.
        PermitRequest request = mFirst.nextRequest(START + idle - 1);
        long late = START + PermitLedger.LEASE_NANOS;
        mFirst.acceptGrant(answer(mLedger.renew(request, late)), late);
        assertThat(mFirst.isValid("a:1:1", late), is(true));
        assertThat(mFirst.nextRequest(late + 1).claims().isEmpty(), is(false));
    }

    /** Guards against two instances that run one suspect at the same time. */
    @Test
    void grantsOneRunOfSuspectsWithoutAnyLimitSet() {
        PermitResource suspect = new PermitResource.SuspectRun("hash-1");
        mFirst.claim("a:1:1", List.of(new PermitPart(suspect, 0, 1)));
        mSecond.claim("b:1:1", List.of(new PermitPart(suspect, 0, 1)));
        assertThat(renew(mFirst, START), is(true));
        assertThat(renew(mSecond, START), is(false));
    }

    private boolean renew(PermitHolder holder, long nowNanos) {
        PermitGrant grant = answer(mLedger.renew(holder.nextRequest(nowNanos), nowNanos));
        holder.acceptGrant(grant, nowNanos);
        return !grant.granted().isEmpty();
    }

    private static PermitGrant answer(PermitDecision decision) {
        return ((PermitDecision.Answer) decision).grant();
    }

    private static List<PermitPart> parts(PermitResource resource, long incarnation) {
        return List.of(new PermitPart(resource, incarnation, 1));
    }
}
