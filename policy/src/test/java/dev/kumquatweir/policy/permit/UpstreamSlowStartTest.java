package dev.kumquatweir.policy.permit;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamSlowStartTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final FailureDomain DOMAIN = new FailureDomain("klang-a");

    private final UpstreamSlowStart mRamp = UpstreamSlowStart.builder().build();

    /** Guards against growth on time alone, and against growth while the upstream says cold. */
    @Test
    void growsOnlyOnFirstTokensInTimeAfterTheUpstreamIsNoLongerCold() {
        mRamp.onAnnouncement(announcement(1, true), 0);
        saw(1, 10, 0, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
        report(1, false, 2 * SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
        saw(1, 1, 0, 60 * SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
        saw(1, 1, 0, 60 * SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(3, 1_500)));
        saw(1, 100, 0, 60 * SECOND + 499 * MILLI);
        assertThat(limit(), is(new SlowStartLimit.Limited(3, 1_500)));
        for (int step = 61; step < 70; step++) {
            saw(1, 100, 0, step * SECOND);
        }
        assertThat(limit(), is(new SlowStartLimit.Unlimited()));
    }

    /** Guards against full load on an upstream that turned cold without warning. */
    @Test
    void fallsBackAtOnceOnEachSignOfBeingCold() {
        mRamp.onAnnouncement(announcement(1, false), 0);
        assertThat(limit(), is(new SlowStartLimit.Unlimited()));
        mRamp.onAnnouncement(announcement(2, false), SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));

        mRamp.remove(ENGINE);
        mRamp.onAnnouncement(announcement(1, false), 0);
        report(1, true, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));

        mRamp.remove(ENGINE);
        mRamp.onAnnouncement(announcement(1, false), 0);
        saw(1, 0, 1, SECOND);
        saw(1, 1, 1, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Unlimited()));
        saw(1, 0, 1, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
        saw(0, 0, 9, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
    }

    /** Guards against slow but normal answers that are taken for a cold start. */
    @Test
    void judgesFirstTokensAgainstTheExpectedTime() {
        assertThat(
                FirstTokenEvidence.classify(ENGINE, 1, 100 * MILLI, 140 * MILLI).inTime(), is(1));
        assertThat(FirstTokenEvidence.classify(ENGINE, 1, 100 * MILLI, 900 * MILLI).late(), is(0));
        assertThat(
                FirstTokenEvidence.classify(ENGINE, 1, 100 * MILLI, 900 * MILLI).inTime(), is(0));
        assertThat(FirstTokenEvidence.classify(ENGINE, 1, 100 * MILLI, SECOND).late(), is(1));
        assertThat(FirstTokenEvidence.classify(ENGINE, 1, 60 * SECOND, 400 * SECOND).late(), is(0));
    }

    /** Guards against moved work when an upstream under permits becomes warm. */
    @Test
    void renewsRunningWorkWithoutLimitOnceWarm() {
        PermitLedger ledger = new PermitLedger(new WeightLoadRateLimiter(1, 1, 0), -2 * SECOND);
        mRamp.onAnnouncement(announcement(1, false), 0);
        PermitHolder holder = new PermitHolder(new InstanceId("a"), 1);
        holder.claim(
                "a:1:1", List.of(new PermitPart(new PermitResource.ColdRequests(ENGINE), 1, 1)));
        mRamp.apply(ENGINE, ledger);
        PermitDecision decision = ledger.renew(holder.nextRequest(0), 0);
        assertThat(((PermitDecision.Answer) decision).grant().granted(), is(Set.of("a:1:1")));
        mRamp.remove(ENGINE);
        mRamp.apply(ENGINE, ledger);
        decision = ledger.renew(holder.nextRequest(1), 1);
        assertThat(((PermitDecision.Answer) decision).grant().granted(), is(Set.of()));
    }

    /** Guards against all instances turning to a returned domain at the same moment. */
    @Test
    void givesReturningDomainsTheirShareStepByStep() {
        DomainSlowStart ramp = new DomainSlowStart();
        assertThat(ramp.share(DOMAIN, 0), closeTo(1, 0));
        ramp.start(DOMAIN, 0);
        assertThat(ramp.admits(DOMAIN, 0.09, 0), is(true));
        assertThat(ramp.admits(DOMAIN, 0.11, 0), is(false));
        ramp.recordOutcome(DOMAIN, true, 0);
        assertThat(ramp.share(DOMAIN, SECOND), closeTo(0.2, 1e-9));
        ramp.recordOutcome(DOMAIN, false, SECOND);
        assertThat(ramp.share(DOMAIN, 2 * SECOND), closeTo(0.1, 1e-9));
        assertThat(ramp.share(DOMAIN, 4 * SECOND), closeTo(0.1, 1e-9));
        for (int second = 5; second < 30; second++) {
            ramp.recordOutcome(DOMAIN, true, second * SECOND);
        }
        assertThat(ramp.share(DOMAIN, 30 * SECOND), closeTo(1, 0));
    }

    private void saw(long incarnation, int inTime, int late, long nowNanos) {
        mRamp.onFirstTokenEvidence(
                new FirstTokenEvidence(ENGINE, incarnation, inTime, late), nowNanos);
    }

    private void report(long incarnation, boolean cold, long nowNanos) {
        mRamp.onLoadReport(new LoadReport(ENGINE, incarnation, 1, 0, 0, 0, 0, cold), nowNanos);
    }

    private SlowStartLimit limit() {
        return mRamp.limit(ENGINE).orElseThrow();
    }

    private static Announcement announcement(long incarnation, boolean cold) {
        return new Announcement(
                ENGINE,
                incarnation,
                "127.0.0.1:9",
                DOMAIN,
                UpstreamKind.ENGINE,
                new ServiceName("quote-llm"),
                Set.of(),
                100_000,
                UpstreamRole.MIXED,
                true,
                cold,
                new ColdLimit(2, 1_000),
                16);
    }
}
