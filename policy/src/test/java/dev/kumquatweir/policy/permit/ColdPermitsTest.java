package dev.kumquatweir.policy.permit;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.ColdLimit;
import org.junit.jupiter.api.Test;

/** The permits of one instance for a cold upstream with a limit of 2 requests. */
class ColdPermitsTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final ColdLimit LIMIT = new ColdLimit(2, 8_000);
    private static final ColdLimit NOTHING = new ColdLimit(0, 0);

    private final PermitHolder mHolder = new PermitHolder(new InstanceId("entry-1"), 1);
    private final ColdPermits mCold = new ColdPermits(mHolder);
    private final PermitLedger mLedger = new PermitLedger(new WeightLoadRateLimiter(1, 1, 0), 0);
    private int mRunning;
    private long mNowNanos = 2 * PermitLedger.LEASE_NANOS;

    /** Guards against all work being moved off before the leader has said how much may stay. */
    @Test
    void runningWorkStaysUntilTheLeaderRefusesIt() {
        limit(1);
        mCold.reportUse(ENGINE, 1, new ColdLimit(5, 500), NOTHING, mNowNanos);
        assertThat(mCold.retained(ENGINE, 1, LIMIT, mNowNanos).requests(), is(5));
        renew();
        assertThat(mCold.retained(ENGINE, 1, LIMIT, mNowNanos).requests(), is(2));
        mCold.reportUse(ENGINE, 1, new ColdLimit(2, 200), NOTHING, mNowNanos);
        assertThat(mCold.retained(ENGINE, 1, LIMIT, mNowNanos).requests(), is(2));
        assertThat(mHolder.refusedInUse().size(), is(3));
        later(ColdPermits.RELEASE_DELAY_NANOS);
        assertThat("surplus given back", mHolder.refusedInUse().size(), is(0));
    }

    /** Guards against a lost leader that stops running work. */
    @Test
    void runningWorkStaysWithoutLeader() {
        limit(1);
        start(1_000);
        for (int reports = 0; reports < 10; reports++) {
            later(PermitLedger.LEASE_NANOS / 3);
            assertThat(mCold.retained(ENGINE, 1, LIMIT, mNowNanos).requests(), is(1));
        }
        assertThat(granted(), equalTo(NOTHING));
    }

    /** Guards against a permit that stays with an instance after its work has ended. */
    @Test
    void endedWorkGivesItsPermitBack() {
        limit(1);
        start(1_000);
        mCold.reportUse(ENGINE, 1, NOTHING, NOTHING, mNowNanos);
        renew();
        assertThat(mLedger.outstandingAmount(requests(), mNowNanos), is(1L));
        later(ColdPermits.RELEASE_DELAY_NANOS);
        renew();
        assertThat(mLedger.outstandingAmount(requests(), mNowNanos), is(0L));
    }

    /** Guards against permits of an upstream that has become warm. */
    @Test
    void warmUpstreamNeedsNoPermits() {
        limit(1);
        start(1_000);
        later(ColdPermits.UNUSED_UPSTREAM_NANOS);
        assertThat(mHolder.nextRequest(mNowNanos).claims().isEmpty(), is(true));
    }

    /** Guards against permits that outlive a restart of their upstream. */
    @Test
    void restartEndsPermits() {
        limit(1);
        start(1_000);
        limit(2);
        assertThat(mCold.granted(ENGINE, 2, LIMIT, mNowNanos), equalTo(NOTHING));
        assertThat(mHolder.nextRequest(mNowNanos).claims().isEmpty(), is(true));
    }

    /** Guards against one prompt that can never start and keeps smaller ones from starting. */
    @Test
    void doesNotClaimMoreThanTheLimit() {
        limit(1);
        want(8_001);
        assertThat(mHolder.nextRequest(mNowNanos).claims().isEmpty(), is(true));
        want(100);
        renew();
        assertThat(granted().requests(), is(1));
    }

    /** Guards against prompt tokens that stay in use after their share went back. */
    @Test
    void keepsThePermitWhoseTokensAreNeeded() {
        limit(1);
        start(1_000);
        start(4_000);
        mCold.reportUse(ENGINE, 1, new ColdLimit(1, 6_000), NOTHING, mNowNanos);
        later(ColdPermits.RELEASE_DELAY_NANOS);
        renew();
        assertThat(
                mLedger.outstandingAmount(new PermitResource.ColdPrefill(ENGINE), mNowNanos),
                is(8_000L));
    }

    private void start(long tokens) {
        want(tokens);
        renew();
        mRunning++;
        mCold.reportUse(ENGINE, 1, new ColdLimit(mRunning, tokens), NOTHING, mNowNanos);
        assertThat("all granted are in use", granted().requests(), is(mRunning));
    }

    private void want(long tokens) {
        granted();
        mCold.reportUse(ENGINE, 1, new ColdLimit(mRunning, 0), new ColdLimit(1, tokens), mNowNanos);
    }

    private void renew() {
        mNowNanos += MILLI;
        PermitRequest request = mHolder.nextRequest(mNowNanos);
        if (mLedger.renew(request, mNowNanos) instanceof PermitDecision.Answer answer) {
            mHolder.acceptGrant(answer.grant(), mNowNanos);
        }
    }

    private ColdLimit granted() {
        return mCold.granted(ENGINE, 1, LIMIT, mNowNanos);
    }

    private void later(long nanos) {
        mNowNanos += nanos;
        mCold.tick(mNowNanos);
    }

    private void limit(long incarnation) {
        mLedger.setLimit(requests(), incarnation, LIMIT.requests());
        mLedger.setLimit(
                new PermitResource.ColdPrefill(ENGINE), incarnation, LIMIT.prefillTokens());
    }

    private static PermitResource requests() {
        return new PermitResource.ColdRequests(ENGINE);
    }
}
