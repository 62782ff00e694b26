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

    private final UpstreamSlowStart mSlowStart = UpstreamSlowStart.builder().build();

    /** Guards against growth by elapsed time alone or while the upstream reports being cold. */
    @Test
    void growsOnlyOnFirstTokensInTimeAfterTheUpstreamIsNoLongerCold() {
        mSlowStart.onAnnouncement(announcement(1, true), 0);
        observeFirstTokens(1, 10, 0, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
        report(1, false, 2 * SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
        observeFirstTokens(1, 1, 0, 60 * SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
        observeFirstTokens(1, 1, 0, 60 * SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(3, 1_500)));
        observeFirstTokens(1, 100, 0, 60 * SECOND + 499 * MILLI);
        assertThat(limit(), is(new SlowStartLimit.Limited(3, 1_500)));
        for (int step = 61; step < 70; step++) {
            observeFirstTokens(1, 100, 0, step * SECOND);
        }
        assertThat(limit(), is(new SlowStartLimit.Unlimited()));
    }

    /**
     * Guards against full load on an upstream that became cold, whether it shows by a new
     * incarnation, a load report or late first tokens.
     */
    @Test
    void resetsToColdLimitOnEachSignOfBeingCold() {
        mSlowStart.onAnnouncement(announcement(1, false), 0);
        assertThat(limit(), is(new SlowStartLimit.Unlimited()));
        mSlowStart.onAnnouncement(announcement(2, false), SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));

        mSlowStart.remove(ENGINE);
        mSlowStart.onAnnouncement(announcement(1, false), 0);
        report(1, true, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));

        mSlowStart.remove(ENGINE);
        mSlowStart.onAnnouncement(announcement(1, false), 0);
        observeFirstTokens(1, 0, 1, SECOND);
        observeFirstTokens(1, 1, 1, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Unlimited()));
        observeFirstTokens(1, 0, 1, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
        observeFirstTokens(0, 0, 9, SECOND);
        assertThat(limit(), is(new SlowStartLimit.Limited(2, 1_000)));
    }

    /** Guards against treating slow but normal first tokens as signs of a cold start. */
    @Test
    void classifiesFirstTokensAgainstTheExpectedTime() {
        assertThat(
                FirstTokenEvidence.classify(ENGINE, 1, 100 * MILLI, 140 * MILLI).inTime(), is(1));
        assertThat(FirstTokenEvidence.classify(ENGINE, 1, 100 * MILLI, 900 * MILLI).late(), is(0));
        assertThat(
                FirstTokenEvidence.classify(ENGINE, 1, 100 * MILLI, 900 * MILLI).inTime(), is(0));
        assertThat(FirstTokenEvidence.classify(ENGINE, 1, 100 * MILLI, SECOND).late(), is(1));
        assertThat(FirstTokenEvidence.classify(ENGINE, 1, 60 * SECOND, 400 * SECOND).late(), is(0));
    }

    /** Guards against refusing the permits of running requests when their upstream is warm. */
    @Test
    void grantsPermitsOfWarmUpstreamAndRefusesThoseOfRemovedOne() {
        PermitLedger ledger = new PermitLedger(new WeightLoadRateLimiter(1, 1, 0), -2 * SECOND);
        mSlowStart.onAnnouncement(announcement(1, false), 0);
        PermitHolder holder = new PermitHolder(new InstanceId("a"), 1);
        holder.claim(
                "a:1:1", List.of(new PermitPart(new PermitResource.ColdRequests(ENGINE), 1, 1)));
        mSlowStart.apply(ENGINE, ledger);
        PermitDecision decision = ledger.renew(holder.nextRequest(0), 0);
        assertThat(((PermitDecision.Answer) decision).grant().granted(), is(Set.of("a:1:1")));
        mSlowStart.remove(ENGINE);
        mSlowStart.apply(ENGINE, ledger);
        decision = ledger.renew(holder.nextRequest(1), 1);
        assertThat(((PermitDecision.Answer) decision).grant().granted(), is(Set.of()));
    }

    /** Guards against all instances placing requests in a returning domain at the same time. */
    @Test
    void raisesTheShareOfReturningDomainsStepByStep() {
        DomainSlowStart slowStart = new DomainSlowStart();
        assertThat(slowStart.share(DOMAIN, 0), closeTo(1, 0));
        slowStart.start(DOMAIN, 0);
        assertThat(slowStart.admits(DOMAIN, 0.09, 0), is(true));
        assertThat(slowStart.admits(DOMAIN, 0.11, 0), is(false));
        slowStart.recordOutcome(DOMAIN, true, 0);
        assertThat(slowStart.share(DOMAIN, SECOND), closeTo(0.2, 1e-9));
        slowStart.recordOutcome(DOMAIN, false, SECOND);
        assertThat(slowStart.share(DOMAIN, 2 * SECOND), closeTo(0.1, 1e-9));
        assertThat(slowStart.share(DOMAIN, 4 * SECOND), closeTo(0.1, 1e-9));
        for (int second = 5; second < 30; second++) {
            slowStart.recordOutcome(DOMAIN, true, second * SECOND);
        }
        assertThat(slowStart.share(DOMAIN, 30 * SECOND), closeTo(1, 0));
    }

    private void observeFirstTokens(long incarnation, int inTime, int late, long nowNanos) {
        mSlowStart.onFirstTokenEvidence(
                new FirstTokenEvidence(ENGINE, incarnation, inTime, late), nowNanos);
    }

    private void report(long incarnation, boolean cold, long nowNanos) {
        mSlowStart.onLoadReport(new LoadReport(ENGINE, incarnation, 1, 0, 0, 0, 0, cold), nowNanos);
    }

    private SlowStartLimit limit() {
        return mSlowStart.limit(ENGINE).orElseThrow();
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
