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
    private static final long FIRST_GRANT_NANOS = PermitLedger.LEASE_NANOS;

    private final PermitLedger mLedger = new PermitLedger(new WeightLoadRateLimiter(1, 2, 0), 0);
    private final PermitHolder mFirst = new PermitHolder(new InstanceId("a"), 1);
    private final PermitHolder mSecond = new PermitHolder(new InstanceId("b"), 1);

    /**
     * Guards against a new leader that grants the same permit again while a grant of its
     * predecessor is still valid.
     */
    @Test
    void grantsAfterOneLeaseAndGivesRunningWorkPrecedence() {
        mLedger.setLimit(COLD, 1, 1);
        PermitLedger predecessor =
                new PermitLedger(new WeightLoadRateLimiter(1, 2, 0), -FIRST_GRANT_NANOS);
        predecessor.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        mFirst.acceptGrant(grantOf(predecessor.renew(mFirst.nextRequest(0), 0)), 0);
        assertThat(mFirst.tryUse("a:1:1", 0), is(true));
        mSecond.claim("b:1:1", parts(COLD, 1));
        assertThat(
                mLedger.renew(mSecond.nextRequest(1), FIRST_GRANT_NANOS - 1),
                is(new PermitDecision.Deferred(FIRST_GRANT_NANOS)));
        assertThat(
                mLedger.renew(mFirst.nextRequest(1), FIRST_GRANT_NANOS - 1),
                is(new PermitDecision.Deferred(FIRST_GRANT_NANOS)));
        assertThat(renew(mSecond, FIRST_GRANT_NANOS), is(false));
        assertThat(renew(mFirst, FIRST_GRANT_NANOS), is(true));
        assertThat(mFirst.isValid("a:1:1", FIRST_GRANT_NANOS), is(true));
        assertThat(mSecond.isValid("b:1:1", FIRST_GRANT_NANOS), is(false));
    }

    /** Guards against a suspended holder that uses an expired permit after it resumes. */
    @Test
    void permitsExpireAtTheHolderBeforeTheLedger() {
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        PermitRequest request = mFirst.nextRequest(FIRST_GRANT_NANOS);
        PermitGrant grant = grantOf(mLedger.renew(request, FIRST_GRANT_NANOS + 200 * MILLI));
        mFirst.acceptGrant(grant, FIRST_GRANT_NANOS + 400 * MILLI);
        long end = FIRST_GRANT_NANOS + PermitLedger.LEASE_NANOS - PermitHolder.CLOCK_MARGIN_NANOS;
        assertThat(mFirst.tryUse("a:1:1", end - 1), is(true));
        assertThat(mFirst.tryUse("a:1:1", end), is(false));
        mSecond.claim("b:1:1", parts(COLD, 1));
        assertThat(renew(mSecond, end), is(false));
        assertThat(
                renew(mSecond, FIRST_GRANT_NANOS + 200 * MILLI + PermitLedger.LEASE_NANOS),
                is(true));
    }

    /** Guards against a delayed answer that makes a released permit valid again. */
    @Test
    void acceptsOnlyTheAnswerToTheNewestRequest() {
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        PermitGrant late =
                grantOf(mLedger.renew(mFirst.nextRequest(FIRST_GRANT_NANOS), FIRST_GRANT_NANOS));
        mFirst.release("a:1:1");
        mFirst.claim("a:1:1", parts(COLD, 1));
        assertThat(mFirst.acceptGrant(late, FIRST_GRANT_NANOS), is(true));
        assertThat(mFirst.isValid("a:1:1", FIRST_GRANT_NANOS), is(false));
        PermitRequest newer = mFirst.nextRequest(FIRST_GRANT_NANOS + 1);
        assertThat(mFirst.acceptGrant(late, FIRST_GRANT_NANOS + 1), is(false));
        mLedger.renew(newer, FIRST_GRANT_NANOS + 1);
        assertThat(
                mLedger.renew(newer, FIRST_GRANT_NANOS + 2),
                instanceOf(PermitDecision.Outdated.class));
    }

    /** Guards against a restarted upstream that gets the load of its previous incarnation. */
    @Test
    void refusesPermitsOfAnEarlierIncarnation() {
        mLedger.setLimit(COLD, 1, 2);
        mFirst.claim("a:1:1", parts(COLD, 1));
        mFirst.claim("a:1:2", parts(COLD, 1));
        renew(mFirst, FIRST_GRANT_NANOS);
        mFirst.tryUse("a:1:1", FIRST_GRANT_NANOS);
        mLedger.setLimit(COLD, 2, 1);
        mSecond.claim("b:1:1", List.of(new PermitPart(COLD, 2, 1)));
        assertThat(renew(mSecond, FIRST_GRANT_NANOS + 1), is(false));
        assertThat(mLedger.outstandingAmount(COLD, FIRST_GRANT_NANOS + 1), is(2L));
        renew(mFirst, FIRST_GRANT_NANOS + 2);
        assertThat(mFirst.refusedInUse(), contains("a:1:1"));
        assertThat(mFirst.releaseOtherIncarnations(ENGINE, 2), contains("a:1:1", "a:1:2"));
        renew(mFirst, FIRST_GRANT_NANOS + 3);
        assertThat(renew(mSecond, FIRST_GRANT_NANOS + 4), is(true));
    }

    /**
     * Guards against a lowered limit that ends all permits, or the oldest instead of the newest.
     */
    @Test
    void keepsTheOldestPermitsWhenTheLimitIsLowered() {
        mLedger.setLimit(COLD, 1, 2);
        mFirst.claim("a:1:1", parts(COLD, 1));
        mFirst.claim("a:1:2", parts(COLD, 1));
        renew(mFirst, FIRST_GRANT_NANOS);
        mFirst.tryUse("a:1:1", FIRST_GRANT_NANOS);
        mFirst.tryUse("a:1:2", FIRST_GRANT_NANOS);
        mLedger.setLimit(COLD, 1, 1);
        renew(mFirst, FIRST_GRANT_NANOS + 1);
        assertThat(mFirst.isValid("a:1:1", FIRST_GRANT_NANOS + 1), is(true));
        assertThat(mFirst.refusedInUse(), contains("a:1:2"));
    }

    /** Guards against starvation of a large claim by a continuous supply of small ones. */
    @Test
    void olderClaimsTakePrecedence() {
        PermitResource firstMemory = new PermitResource.EngineMemory(ENGINE);
        PermitResource secondMemory = new PermitResource.EngineMemory(OTHER);
        mLedger.setLimit(firstMemory, 1, 100);
        mLedger.setLimit(secondMemory, 1, 100);
        mSecond.claim("small-1", List.of(new PermitPart(secondMemory, 1, 50)));
        renew(mSecond, FIRST_GRANT_NANOS);
        mFirst.claim(
                "large",
                List.of(new PermitPart(firstMemory, 1, 80), new PermitPart(secondMemory, 1, 80)));
        renew(mFirst, FIRST_GRANT_NANOS + 1);
        assertThat(mLedger.outstandingAmount(firstMemory, FIRST_GRANT_NANOS + 1), is(0L));
        mSecond.claim("small-2", List.of(new PermitPart(secondMemory, 1, 50)));
        renew(mSecond, FIRST_GRANT_NANOS + 2);
        assertThat(mSecond.isValid("small-2", FIRST_GRANT_NANOS + 2), is(false));
        mSecond.release("small-1");
        renew(mSecond, FIRST_GRANT_NANOS + 3);
        renew(mFirst, FIRST_GRANT_NANOS + 4);
        assertThat(mFirst.isValid("large", FIRST_GRANT_NANOS + 4), is(true));
    }

    /** Guards against a claim above the limit, which is never granted and blocks all others. */
    @Test
    void skipsClaimsAboveTheLimit() {
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("too-much", List.of(new PermitPart(COLD, 1, 2)));
        assertThat(renew(mFirst, FIRST_GRANT_NANOS), is(false));
        mSecond.claim("b:1:1", parts(COLD, 1));
        assertThat(renew(mSecond, FIRST_GRANT_NANOS + 1), is(true));
    }

    /** Guards against overload of a cold upstream that also runs requests without permits. */
    @Test
    void countsTheUseThatTheUpstreamReports() {
        mLedger.setLimit(COLD, 1, 2);
        mLedger.recordReportedUse(COLD, 2, FIRST_GRANT_NANOS);
        mFirst.claim("a:1:1", parts(COLD, 1));
        assertThat(renew(mFirst, FIRST_GRANT_NANOS), is(false));
        assertThat(renew(mFirst, FIRST_GRANT_NANOS + PermitLedger.LEASE_NANOS), is(true));
    }

    /** Guards against loads that exceed the rate of the weight store. */
    @Test
    void grantsLoadsOnceAtTheRateOfTheWeightStore() {
        PermitResource loads = new PermitResource.WeightStoreLoads();
        for (int load = 0; load < 4; load++) {
            mFirst.claim("load-" + load, List.of(new PermitPart(loads, 0, 1)));
        }
        renew(mFirst, FIRST_GRANT_NANOS);
        assertThat(mFirst.allowedAmount(loads, FIRST_GRANT_NANOS), is(1L));
        mFirst.tryUse("load-0", FIRST_GRANT_NANOS);
        renew(mFirst, FIRST_GRANT_NANOS + SECOND);
        assertThat(mFirst.allowedAmount(loads, FIRST_GRANT_NANOS + SECOND), is(2L));
    }

    /** Guards against idle permits, or those of a terminated holder, that block other claims. */
    @Test
    void releasesIdlePermitsAndThoseOfRestartedHolders() {
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        renew(mFirst, FIRST_GRANT_NANOS);
        assertThat(
                mFirst.nextRequest(FIRST_GRANT_NANOS + PermitHolder.IDLE_TIMEOUT_NANOS).claims(),
                empty());
        mFirst.claim("a:1:2", parts(COLD, 1));
        renew(mFirst, FIRST_GRANT_NANOS + SECOND);
        PermitHolder restarted = new PermitHolder(new InstanceId("a"), 2);
        restarted.claim("a:2:1", parts(COLD, 1));
        assertThat(renew(restarted, FIRST_GRANT_NANOS + SECOND + 1), is(true));
        assertThat(
                mLedger.renew(
                        mFirst.nextRequest(FIRST_GRANT_NANOS + SECOND + 2),
                        FIRST_GRANT_NANOS + SECOND + 2),
                instanceOf(PermitDecision.Outdated.class));
    }

    /** Guards against a permit released as idle because no leader was reachable for a while. */
    @Test
    void keepsPermitsThatExpiredAndWereGrantedAgain() {
        long idle = PermitHolder.IDLE_TIMEOUT_NANOS;
        mLedger.setLimit(COLD, 1, 1);
        mFirst.claim("a:1:1", parts(COLD, 1));
        renew(mFirst, FIRST_GRANT_NANOS);
        // Requested just before the permit counts as idle, answered after it has expired.
        PermitRequest request = mFirst.nextRequest(FIRST_GRANT_NANOS + idle - 1);
        long late = FIRST_GRANT_NANOS + PermitLedger.LEASE_NANOS;
        mFirst.acceptGrant(grantOf(mLedger.renew(request, late)), late);
        assertThat(mFirst.isValid("a:1:1", late), is(true));
        assertThat(mFirst.nextRequest(late + 1).claims().isEmpty(), is(false));
    }

    /** Guards against two instances that run the same suspect request at the same time. */
    @Test
    void grantsOneRunOfSuspectRequestWithoutSetLimit() {
        PermitResource suspect = new PermitResource.SuspectRun("hash-1");
        mFirst.claim("a:1:1", List.of(new PermitPart(suspect, 0, 1)));
        mSecond.claim("b:1:1", List.of(new PermitPart(suspect, 0, 1)));
        assertThat(renew(mFirst, FIRST_GRANT_NANOS), is(true));
        assertThat(renew(mSecond, FIRST_GRANT_NANOS), is(false));
    }

    private boolean renew(PermitHolder holder, long nowNanos) {
        PermitGrant grant = grantOf(mLedger.renew(holder.nextRequest(nowNanos), nowNanos));
        holder.acceptGrant(grant, nowNanos);
        return !grant.granted().isEmpty();
    }

    private static PermitGrant grantOf(PermitDecision decision) {
        return ((PermitDecision.Answer) decision).grant();
    }

    private static List<PermitPart> parts(PermitResource resource, long incarnation) {
        return List.of(new PermitPart(resource, incarnation, 1));
    }
}
