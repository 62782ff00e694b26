package dev.kumquatweir.policy.permit;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.ColdLimit;
import org.junit.jupiter.api.Test;

/** Tests the permits of one instance for a cold upstream with a limit of 2 requests. */
class ColdPermitsTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final ColdLimit LIMIT = new ColdLimit(2, 8_000);
    private static final ColdLimit NOTHING = new ColdLimit(0, 0);

    private final PermitHolder mHolder = new PermitHolder(new InstanceId("entry-1"), 1);
    private final ColdPermits mColdPermits = new ColdPermits(mHolder);
    private final PermitLedger mLedger = new PermitLedger(new WeightLoadRateLimiter(1, 1, 0), 0);
    private int mRunning;
    private long mNowNanos = 2 * PermitLedger.LEASE_NANOS;

    /**
     * Guards against moving all requests off an upstream that becomes cold: they have no permits
     * until the leader has answered the first claims.
     */
    @Test
    void runningRequestsStayUntilTheLeaderRefusesThem() {
        setLimits(1);
        mColdPermits.reportUse(ENGINE, 1, new ColdLimit(5, 500), NOTHING, mNowNanos);
        assertThat(mColdPermits.retained(ENGINE, 1, LIMIT, mNowNanos).requests(), is(5));
        renew();
        assertThat(mColdPermits.retained(ENGINE, 1, LIMIT, mNowNanos).requests(), is(2));
        mColdPermits.reportUse(ENGINE, 1, new ColdLimit(2, 200), NOTHING, mNowNanos);
        assertThat(mColdPermits.retained(ENGINE, 1, LIMIT, mNowNanos).requests(), is(2));
        assertThat(mHolder.refusedInUse().size(), is(3));
        advance(ColdPermits.RELEASE_DELAY_NANOS);
        assertThat("refused permits released", mHolder.refusedInUse().size(), is(0));
    }

    /** Guards against moving running requests when their permits expire without a leader. */
    @Test
    void runningRequestsStayWithoutLeader() {
        setLimits(1);
        startRequest(1_000);
        for (int reports = 0; reports < 10; reports++) {
            advance(PermitLedger.LEASE_NANOS / 3);
            assertThat(mColdPermits.retained(ENGINE, 1, LIMIT, mNowNanos).requests(), is(1));
        }
        assertThat(granted(), equalTo(NOTHING));
    }

    /** Guards against an instance that keeps a permit after the request has ended. */
    @Test
    void releasesPermitOfEndedRequest() {
        setLimits(1);
        startRequest(1_000);
        mColdPermits.reportUse(ENGINE, 1, NOTHING, NOTHING, mNowNanos);
        renew();
        assertThat(mLedger.outstandingAmount(requests(), mNowNanos), is(1L));
        advance(ColdPermits.RELEASE_DELAY_NANOS);
        renew();
        assertThat(mLedger.outstandingAmount(requests(), mNowNanos), is(0L));
    }

    /** Guards against permits that are still renewed after their upstream has become warm. */
    @Test
    void releasesPermitsOfUpstreamNoLongerCold() {
        setLimits(1);
        startRequest(1_000);
        advance(ColdPermits.UNUSED_UPSTREAM_NANOS);
        assertThat(mHolder.nextRequest(mNowNanos).claims().isEmpty(), is(true));
    }

    /** Guards against permits that stay in use after their upstream has restarted. */
    @Test
    void releasesPermitsWhenUpstreamRestarts() {
        setLimits(1);
        startRequest(1_000);
        setLimits(2);
        assertThat(mColdPermits.granted(ENGINE, 2, LIMIT, mNowNanos), equalTo(NOTHING));
        assertThat(mHolder.nextRequest(mNowNanos).claims().isEmpty(), is(true));
    }

    /** Guards against a claim above the limit, which is never granted and blocks smaller ones. */
    @Test
    void doesNotClaimMoreThanTheLimit() {
        setLimits(1);
        claim(8_001);
        assertThat(mHolder.nextRequest(mNowNanos).claims().isEmpty(), is(true));
        claim(100);
        renew();
        assertThat(granted().requests(), is(1));
    }

    /** Guards against releasing a permit whose prompt tokens are still being processed. */
    @Test
    void keepsThePermitWhoseTokensAreNeeded() {
        setLimits(1);
        startRequest(1_000);
        startRequest(4_000);
        mColdPermits.reportUse(ENGINE, 1, new ColdLimit(1, 6_000), NOTHING, mNowNanos);
        advance(ColdPermits.RELEASE_DELAY_NANOS);
        renew();
        assertThat(
                mLedger.outstandingAmount(new PermitResource.ColdPrefill(ENGINE), mNowNanos),
                is(8_000L));
    }

    private void startRequest(long tokens) {
        claim(tokens);
        renew();
        mRunning++;
        mColdPermits.reportUse(ENGINE, 1, new ColdLimit(mRunning, tokens), NOTHING, mNowNanos);
        assertThat("all granted permits are in use", granted().requests(), is(mRunning));
    }

    private void claim(long tokens) {
        granted();
        mColdPermits.reportUse(
                ENGINE, 1, new ColdLimit(mRunning, 0), new ColdLimit(1, tokens), mNowNanos);
    }

    private void renew() {
        mNowNanos += MILLI;
        PermitRequest request = mHolder.nextRequest(mNowNanos);
        if (mLedger.renew(request, mNowNanos) instanceof PermitDecision.Answer answer) {
            mHolder.acceptGrant(answer.grant(), mNowNanos);
        }
    }

    private ColdLimit granted() {
        return mColdPermits.granted(ENGINE, 1, LIMIT, mNowNanos);
    }

    private void advance(long nanos) {
        mNowNanos += nanos;
        mColdPermits.tick(mNowNanos);
    }

    private void setLimits(long incarnation) {
        mLedger.setLimit(requests(), incarnation, LIMIT.requests());
        mLedger.setLimit(
                new PermitResource.ColdPrefill(ENGINE), incarnation, LIMIT.prefillTokens());
    }

    private static PermitResource requests() {
        return new PermitResource.ColdRequests(ENGINE);
    }
}
