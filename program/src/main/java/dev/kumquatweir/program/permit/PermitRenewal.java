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

    private record Answer(PermitRequest request, Optional<PermitGrant> grant) {}

    private final PermitHolder mHolder;
    private final ColdPermits mCold;
    private final PermitPort mPort;
    private final Counter mGranted;
    private final Counter mRefused;
    private final Queue<Answer> mAnswers = new ConcurrentLinkedQueue<>();
    private volatile int mHeld;
    private int mSurplus;

    /**
     * Makes a renewal that has sent nothing yet.
     *
     * @param holder the permits, of all kinds
     * @param cold those for cold upstreams
     * @param port reaches the leader
     * @param metrics takes the counters
     */
    public PermitRenewal(
            PermitHolder holder, ColdPermits cold, PermitPort port, MetricRegistry metrics) {
        mHolder = holder;
        mCold = cold;
        mPort = port;
        mGranted = metrics.counter("kumquatweir_permits_granted");
        mRefused = metrics.counter("kumquatweir_permits_refused");
        Gauge<Integer> held = () -> mHeld;
        metrics.register("kumquatweir_permits_held", held);
    }

    /** Takes answers and sends the next renewal if it is due. */
    public void poll(long nowNanos) {
        for (Answer answer = mAnswers.poll(); answer != null; answer = mAnswers.poll()) {
            take(answer, nowNanos);
        }
        mCold.tick(nowNanos);
        mHeld = mHolder.validCount(nowNanos);
        if (mHolder.due(nowNanos)) {
            PermitRequest request = mHolder.request(nowNanos);
            mPort.renew(request).thenAccept(grant -> mAnswers.add(new Answer(request, grant)));
        }
    }

    private void take(Answer answer, long nowNanos) {
        if (answer.grant().isEmpty()) {
            mHolder.unanswered(answer.request().sequence());
            return;
        }
        PermitGrant grant = answer.grant().get();
        if (!mHolder.granted(grant, nowNanos)) {
            return;
        }
        for (PermitClaim claim : answer.request().claims()) {
            boolean granted = grant.granted().contains(claim.name());
            mGranted.inc(granted && !claim.held() ? 1 : 0);
            mRefused.inc(granted ? 0 : 1);
        }
        int surplus = mHolder.surplus().size();
        if (surplus > mSurplus) {
            LOG.info("permits_withdrawn", "claims", mHolder.surplus());
        }
        mSurplus = surplus;
    }
}
