package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.upstream.UpstreamClients;
import dev.kumquatweir.policy.reach.UpstreamReach;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Watches whether this instance reaches upstreams, and tries some of them when {@link
 * UpstreamReach} asks for it. Confined to the I/O thread, except {@link #cutOff}.
 */
public final class ReachMonitor {
    private static final EventLog LOG = EventLog.of(ReachMonitor.class);
    private static final int MAXIMUM_TRIED = 6;
    private static final int CONNECT_LIMIT_MILLIS = 400;

    private final ForwardingState mState;
    private final UpstreamClients mClients;
    private final UpstreamReach mReach;
    private final Random mRandom = new Random();

    /** When each send without any bytes of a response was made, the oldest first. */
    private final Map<Object, Long> mAwaitedNanos = new LinkedHashMap<>();

    private volatile boolean mCutOff;

    /** Creates a monitor of an instance that reaches its upstreams. */
    public ReachMonitor(ForwardingState state, UpstreamClients clients, Clocks clocks) {
        mState = state;
        mClients = clients;
        mReach = new UpstreamReach(clocks.nowNanos());
    }

    /** Returns whether no upstream can be reached; may be called from any thread. */
    public boolean cutOff() {
        return mCutOff;
    }

    /**
     * Returns whether this instance reaches no upstream, but others do; may be called from any
     * thread. If no instance does, the upstreams are gone, and requests wait for them here.
     */
    public boolean othersCarry() {
        return mCutOff && !mState.carriers().isEmpty();
    }

    void sent(Object attempt, long nowNanos) {
        mAwaitedNanos.put(attempt, nowNanos);
    }

    void received(Object attempt, long nowNanos) {
        mAwaitedNanos.remove(attempt);
        mReach.received(nowNanos);
    }

    void ended(Object attempt) {
        mAwaitedNanos.remove(attempt);
    }

    void connectFailed(UpstreamId upstream, long nowNanos) {
        mReach.connectFailed(upstream, nowNanos);
    }

    /** Tries upstreams if that is due. Called periodically. */
    void tick(long nowNanos) {
        long waitingSinceNanos = mAwaitedNanos.values().stream().findFirst().orElse(Long.MAX_VALUE);
        if (mReach.isTryDue(waitingSinceNanos, nowNanos)) {
            List<UpstreamStatus> sample = sample();
            mReach.tryBegun(nowNanos);
            new Round(sample.size()).begin(sample);
        }
    }

    /** Returns upstreams to try, spread over services and failure domains. */
    private List<UpstreamStatus> sample() {
        List<UpstreamStatus> shuffled = new ArrayList<>(mState.upstreams());
        Collections.shuffle(shuffled, mRandom);
        Set<ServiceName> services = new HashSet<>();
        Set<FailureDomain> domains = new HashSet<>();
        List<UpstreamStatus> first =
                shuffled.stream()
                        .filter(
                                upstream ->
                                        services.add(upstream.service())
                                                || domains.add(upstream.domain()))
                        .limit(MAXIMUM_TRIED)
                        .toList();
        List<UpstreamStatus> sample = new ArrayList<>(first);
        shuffled.stream()
                .filter(upstream -> !first.contains(upstream))
                .limit(MAXIMUM_TRIED - first.size())
                .forEach(sample::add);
        return sample;
    }

    /** One try: the first upstream alone, and the others if it can't be connected to. */
    private final class Round {
        private final int mTried;
        private int mOpen;
        private boolean mEnded;

        Round(int tried) {
            mTried = tried;
        }

        void begin(List<UpstreamStatus> sample) {
            if (sample.isEmpty()) {
                end(false);
                return;
            }
            mOpen = 1;
            connect(sample.getFirst(), () -> connectAll(sample.subList(1, sample.size())));
        }

        private void connectAll(List<UpstreamStatus> others) {
            mOpen = others.size();
            if (others.isEmpty()) {
                end(false);
            }
            others.forEach(upstream -> connect(upstream, () -> {}));
        }

        private void connect(UpstreamStatus upstream, Runnable onFailure) {
            mClients.connect(upstream.address(), CONNECT_LIMIT_MILLIS)
                    .subscribe(
                            () -> end(true),
                            failure -> {
                                mOpen--;
                                onFailure.run();
                                if (mOpen <= 0) {
                                    end(false);
                                }
                            });
        }

        private void end(boolean connected) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            if (mReach.tryEnded(mTried, connected)) {
                mCutOff = mReach.cutOff();
                LOG.warn(mCutOff ? "upstreams_unreachable" : "upstreams_reached", "tried", mTried);
            }
        }
    }
}
