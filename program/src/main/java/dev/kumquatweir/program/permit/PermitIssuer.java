package dev.kumquatweir.program.permit;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.permit.PermitClaim;
import dev.kumquatweir.policy.permit.PermitDecision;
import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitLedger;
import dev.kumquatweir.policy.permit.PermitPart;
import dev.kumquatweir.policy.permit.PermitRequest;
import dev.kumquatweir.policy.permit.PermitResource;
import dev.kumquatweir.policy.permit.SlowStartLimit;
import dev.kumquatweir.policy.permit.UpstreamSlowStart;
import dev.kumquatweir.policy.permit.WeightLoadRateLimiter;
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
    private static final double WEIGHT_STORE_LOADS_PER_SECOND = 1;
    private static final double WEIGHT_STORE_LOADS_BURST = 1;
    private static final long SWEEP_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The registries of the instances forget an upstream after 10 s. */
    private static final long UPSTREAM_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long SUMMARY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final UpstreamObservations mObservations;
    private @Nullable PermitLedger mLedger;
    private UpstreamSlowStart mColdRamp = UpstreamSlowStart.builder().build();
    private long mLastSweepNanos;
    private long mLastSummaryNanos;
    private long mGrantedClaims;
    private long mRefusedClaims;

    /** Makes an issuer that does not lead. */
    public PermitIssuer(UpstreamObservations observations) {
        mObservations = observations;
    }

    /** Begins a term of leadership with an empty ledger. */
    public void beginLeadership(long nowNanos) {
        mLedger =
                new PermitLedger(
                        new WeightLoadRateLimiter(
                                WEIGHT_STORE_LOADS_PER_SECOND, WEIGHT_STORE_LOADS_BURST, nowNanos),
                        nowNanos);
        mColdRamp = UpstreamSlowStart.builder().build();
        mLastSweepNanos = nowNanos;
        mLastSummaryNanos = nowNanos;
    }

    /** Ends the term. */
    public void endLeadership() {
        mLedger = null;
    }

    /**
     * Decides on a renewal.
     *
     * @param remainingLeaderLeaseNanos remaining leader lease of the replica at the given time
     * @return the decision, empty if this instance may not decide now
     */
    public Optional<PermitGrant> renew(
            PermitRequest request, long remainingLeaderLeaseNanos, long nowNanos) {
        PermitLedger ledger = mLedger;
        if (ledger == null || remainingLeaderLeaseNanos <= 0) {
            return Optional.empty();
        }
        updateLimits(ledger, request, nowNanos);
        return switch (ledger.renew(request, nowNanos)) {
            case PermitDecision.Answer answer -> {
                countDecisions(request, answer.grant());
                yield Optional.of(answer.grant());
            }
            case PermitDecision.Deferred _, PermitDecision.Outdated _ -> Optional.empty();
        };
    }

    /** Forgets holders and upstreams that are gone; call it now and then while leading or not. */
    public void tick(long nowNanos) {
        if (nowNanos - mLastSweepNanos < SWEEP_INTERVAL_NANOS) {
            return;
        }
        mLastSweepNanos = nowNanos;
        Iterable<UpstreamId> silentUpstreams =
                mObservations.removeSilentUpstreams(UPSTREAM_EXPIRY_NANOS);
        PermitLedger ledger = mLedger;
        if (ledger == null) {
            return;
        }
        ledger.removeExpiredHolders(nowNanos);
        for (UpstreamId upstream : silentUpstreams) {
            mColdRamp.remove(upstream);
            mColdRamp.apply(upstream, ledger);
            ledger.removeLimit(new PermitResource.EngineMemory(upstream));
        }
        if (nowNanos - mLastSummaryNanos >= SUMMARY_INTERVAL_NANOS) {
            logSummary(nowNanos);
        }
    }

    private void logSummary(long nowNanos) {
        if (mGrantedClaims + mRefusedClaims > 0) {
            LOG.info("permits_decided", "granted", mGrantedClaims, "refused", mRefusedClaims);
        }
        mLastSummaryNanos = nowNanos;
        mGrantedClaims = 0;
        mRefusedClaims = 0;
    }

    /** Brings the limits of all claimed upstreams up to date before the ledger decides. */
    private void updateLimits(PermitLedger ledger, PermitRequest request, long nowNanos) {
        Set<PermitResource> claimed =
                request.claims().stream()
                        .flatMap(claim -> claim.parts().stream())
                        .map(PermitPart::resource)
                        .collect(Collectors.toSet());
        for (PermitResource resource : claimed) {
            switch (resource) {
                case PermitResource.ColdRequests cold ->
                        updateColdLimits(ledger, cold.upstream(), nowNanos);
                case PermitResource.EngineMemory memory -> updateMemoryLimit(ledger, memory);
                case PermitResource.ColdPrefill _,
                        PermitResource.SuspectRun _,
                        PermitResource.WeightStoreLoads _ -> {
                    // Prefill goes with the requests; the others have fixed limits.
                }
            }
        }
        request.evidence().forEach(evidence -> mColdRamp.onFirstTokenEvidence(evidence, nowNanos));
    }

    private void updateColdLimits(PermitLedger ledger, UpstreamId upstream, long nowNanos) {
        UpstreamObservations.Observation observation = mObservations.find(upstream);
        if (observation == null) {
            return;
        }
        mColdRamp.onAnnouncement(observation.announcement(), nowNanos);
        LoadReport load = observation.load();
        if (load != null) {
            mColdRamp.onLoadReport(load, nowNanos);
        }
        mColdRamp.apply(upstream, ledger);
        PermitResource requests = new PermitResource.ColdRequests(upstream);
        PermitResource prefill = new PermitResource.ColdPrefill(upstream);
        if (mColdRamp.limit(upstream).orElse(null) instanceof SlowStartLimit.Unlimited) {
            // Only a holder that knows the upstream as cold claims; it may have heard it first.
            ColdLimit limit = observation.announcement().coldLimit();
            long incarnation = observation.announcement().incarnation();
            ledger.setLimit(requests, incarnation, limit.requests());
            ledger.setLimit(prefill, incarnation, limit.prefillTokens());
        }
        if (load != null && load.cold()) {
            ledger.recordReportedUse(
                    requests, load.running() + load.queued(), observation.lastSeenNanos());
            ledger.recordReportedUse(
                    prefill, load.prefillBacklogTokens(), observation.lastSeenNanos());
        }
    }

    private void updateMemoryLimit(PermitLedger ledger, PermitResource.EngineMemory memory) {
        UpstreamObservations.Observation observation = mObservations.find(memory.upstream());
        if (observation != null) {
            ledger.setLimit(
                    memory,
                    observation.announcement().incarnation(),
                    observation.announcement().memoryTokens());
        }
    }

    private void countDecisions(PermitRequest request, PermitGrant grant) {
        for (PermitClaim claim : request.claims()) {
            boolean granted = grant.granted().contains(claim.name());
            mGrantedClaims += granted && !claim.held() ? 1 : 0;
            mRefusedClaims += granted ? 0 : 1;
        }
    }
}
