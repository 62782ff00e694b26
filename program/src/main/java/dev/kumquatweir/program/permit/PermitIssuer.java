package dev.kumquatweir.program.permit;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.permit.ColdRamp;
import dev.kumquatweir.policy.permit.LoadRate;
import dev.kumquatweir.policy.permit.PermitClaim;
import dev.kumquatweir.policy.permit.PermitDecision;
import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitLedger;
import dev.kumquatweir.policy.permit.PermitPart;
import dev.kumquatweir.policy.permit.PermitRequest;
import dev.kumquatweir.policy.permit.PermitResource;
import dev.kumquatweir.policy.permit.RampLimit;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The leader's side of permits: one ledger for each term, with limits from what the upstreams said
 * to this instance. Not thread-safe: owned by the control duty.
 */
public final class PermitIssuer {
    private static final EventLog LOG = EventLog.of(PermitIssuer.class);
    private static final double LOADS_PER_SECOND = 1;
    private static final double LOADS_BURST = 1;
    private static final long SWEEP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The registries of the instances forget an upstream after 10 s. */
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long SUMMARY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final UpstreamObservations mObservations;
    private @Nullable PermitLedger mLedger;
    private ColdRamp mRamp = ColdRamp.builder().build();
    private long mSweptNanos;
    private long mSummaryNanos;
    private long mGranted;
    private long mRefused;

    /** Makes an issuer that does not lead. */
    public PermitIssuer(UpstreamObservations observations) {
        mObservations = observations;
    }

    /** Begins a term of leadership with an empty ledger. */
    public void beginLeadership(long nowNanos) {
        mLedger = new PermitLedger(new LoadRate(LOADS_PER_SECOND, LOADS_BURST, nowNanos), nowNanos);
        mRamp = ColdRamp.builder().build();
        mSweptNanos = nowNanos;
        mSummaryNanos = nowNanos;
    }

    /** Ends the term. */
    public void endLeadership() {
        mLedger = null;
    }

    /**
     * Decides on a renewal.
     *
     * @param leaderLeaseNanos remaining leader lease of the replica at the given time
     * @return the decision, empty if this instance may not decide now
     */
    public Optional<PermitGrant> renew(
            PermitRequest request, long leaderLeaseNanos, long nowNanos) {
        PermitLedger ledger = mLedger;
        if (ledger == null || leaderLeaseNanos <= 0) {
            return Optional.empty();
        }
        learn(ledger, request, nowNanos);
        return switch (ledger.renew(request, nowNanos)) {
            case PermitDecision.Answer answer -> {
                count(request, answer.grant());
                yield Optional.of(answer.grant());
            }
            case PermitDecision.NotYet _, PermitDecision.Outdated _ -> Optional.empty();
        };
    }

    /** Forgets holders and upstreams that are gone; call it now and then while leading or not. */
    public void tick(long nowNanos) {
        if (nowNanos - mSweptNanos < SWEEP_NANOS) {
            return;
        }
        mSweptNanos = nowNanos;
        Iterable<UpstreamId> silent = mObservations.forget(SILENT_NANOS);
        PermitLedger ledger = mLedger;
        if (ledger == null) {
            return;
        }
        ledger.expire(nowNanos);
        for (UpstreamId upstream : silent) {
            mRamp.forget(upstream);
            mRamp.apply(upstream, ledger);
            ledger.close(new PermitResource.EngineMemory(upstream));
        }
        if (nowNanos - mSummaryNanos >= SUMMARY_NANOS) {
            summarize(nowNanos);
        }
    }

    private void summarize(long nowNanos) {
        if (mGranted + mRefused > 0) {
            LOG.info("permits_decided", "granted", mGranted, "refused", mRefused);
        }
        mSummaryNanos = nowNanos;
        mGranted = 0;
        mRefused = 0;
    }

    /** Brings the limits of all claimed upstreams up to date before the ledger decides. */
    private void learn(PermitLedger ledger, PermitRequest request, long nowNanos) {
        Set<PermitResource> claimed =
                request.claims().stream()
                        .flatMap(claim -> claim.parts().stream())
                        .map(PermitPart::resource)
                        .collect(Collectors.toSet());
        for (PermitResource resource : claimed) {
            switch (resource) {
                case PermitResource.ColdRequests cold ->
                        learnCold(ledger, cold.upstream(), nowNanos);
                case PermitResource.EngineMemory memory -> learnMemory(ledger, memory);
                case PermitResource.ColdPrefill _,
                        PermitResource.SuspectRun _,
                        PermitResource.WeightStoreLoads _ -> {
                    // Prefill goes with the requests; the others have fixed limits.
                }
            }
        }
        request.evidence().forEach(evidence -> mRamp.saw(evidence, nowNanos));
    }

    private void learnCold(PermitLedger ledger, UpstreamId upstream, long nowNanos) {
        UpstreamObservations.Observation observation = mObservations.find(upstream);
        if (observation == null) {
            return;
        }
        mRamp.announced(observation.announcement(), nowNanos);
        LoadReport load = observation.load();
        if (load != null) {
            mRamp.reported(load, nowNanos);
        }
        mRamp.apply(upstream, ledger);
        PermitResource requests = new PermitResource.ColdRequests(upstream);
        PermitResource prefill = new PermitResource.ColdPrefill(upstream);
        if (mRamp.limit(upstream).orElse(null) instanceof RampLimit.Unlimited) {
            // Only a holder that knows the upstream as cold claims; it may have heard it first.
            ColdLimit limit = observation.announcement().coldLimit();
            long incarnation = observation.announcement().incarnation();
            ledger.limit(requests, incarnation, limit.requests());
            ledger.limit(prefill, incarnation, limit.prefillTokens());
        }
        if (load != null && load.cold()) {
            ledger.observe(requests, load.running() + load.queued(), observation.heardNanos());
            ledger.observe(prefill, load.prefillBacklogTokens(), observation.heardNanos());
        }
    }

    private void learnMemory(PermitLedger ledger, PermitResource.EngineMemory memory) {
        UpstreamObservations.Observation observation = mObservations.find(memory.upstream());
        if (observation != null) {
            ledger.limit(
                    memory,
                    observation.announcement().incarnation(),
                    observation.announcement().memoryTokens());
        }
    }

    private void count(PermitRequest request, PermitGrant grant) {
        for (PermitClaim claim : request.claims()) {
            boolean granted = grant.granted().contains(claim.name());
            mGranted += granted && !claim.held() ? 1 : 0;
            mRefused += granted ? 0 : 1;
        }
    }
}
