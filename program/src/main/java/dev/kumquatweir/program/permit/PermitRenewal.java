package dev.kumquatweir.program.permit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.policy.permit.ColdPermits;
import dev.kumquatweir.policy.permit.PermitClaim;
import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitHolder;
import dev.kumquatweir.policy.permit.PermitRequest;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Renews the permits of this instance. {@link #poll} is called by the dispatch duty, which owns the
 * holder; it never blocks: answers wait in a queue until the next call.
 */
public final class PermitRenewal {
    private static final EventLog LOG = EventLog.of(PermitRenewal.class);

    private record Response(PermitRequest request, Optional<PermitGrant> grant) {}

    private final PermitHolder mPermits;
    private final ColdPermits mColdPermits;
    private final PermitPort mPort;
    private final Counter mGrantedCounter;
    private final Counter mRefusedCounter;
    private final Queue<Response> mResponses = new ConcurrentLinkedQueue<>();
    private volatile int mHeldCount;
    private int mSurplusCount;

    /**
     * Makes a renewal that has sent nothing yet.
     *
     * @param permits the permits, of all kinds
     * @param coldPermits those for cold upstreams
     * @param port reaches the leader
     * @param metrics takes the counters
     */
    public PermitRenewal(
            PermitHolder permits,
            ColdPermits coldPermits,
            PermitPort port,
            MetricRegistry metrics) {
        mPermits = permits;
        mColdPermits = coldPermits;
        mPort = port;
        mGrantedCounter = metrics.counter("kumquatweir_permits_granted");
        mRefusedCounter = metrics.counter("kumquatweir_permits_refused");
        Gauge<Integer> held = () -> mHeldCount;
        metrics.register("kumquatweir_permits_held", held);
    }

    /** Takes answers and sends the next renewal if it is due. */
    public void poll(long nowNanos) {
        for (Response response = mResponses.poll();
                response != null;
                response = mResponses.poll()) {
            applyResponse(response, nowNanos);
        }
        mColdPermits.tick(nowNanos);
        mHeldCount = mPermits.validCount(nowNanos);
        if (mPermits.isRenewalDue(nowNanos)) {
            PermitRequest request = mPermits.nextRequest(nowNanos);
            mPort.renew(request).thenAccept(grant -> mResponses.add(new Response(request, grant)));
        }
    }

    private void applyResponse(Response response, long nowNanos) {
        if (response.grant().isEmpty()) {
            mPermits.onNoAnswer(response.request().sequence());
            return;
        }
        PermitGrant grant = response.grant().get();
        if (!mPermits.acceptGrant(grant, nowNanos)) {
            return;
        }
        for (PermitClaim claim : response.request().claims()) {
            boolean granted = grant.granted().contains(claim.name());
            mGrantedCounter.inc(granted && !claim.held() ? 1 : 0);
            mRefusedCounter.inc(granted ? 0 : 1);
        }
        int surplusCount = mPermits.refusedInUse().size();
        if (surplusCount > mSurplusCount) {
            LOG.info("permits_withdrawn", "claims", mPermits.refusedInUse());
        }
        mSurplusCount = surplusCount;
    }
}
