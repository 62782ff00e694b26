package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.forward.PlacementPort;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.TransportFailure;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Asks the leader's scheduler for upstreams, and a scheduler of this instance while no leader
 * answers. Used on the I/O thread.
 */
final class EntryPlacement implements PlacementPort {
    private static final EventLog LOG = EventLog.of(EntryPlacement.class);
    private static final long ANSWER_SLACK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final InstanceId mSelf;
    private final PeerNetwork mNetwork;
    private final Clocks mClocks;
    private final Executor mExecutor;
    private final PlacementScheduler mAlone;
    private final Map<PlacementKey, Asked> mAsked = new LinkedHashMap<>();
    private @Nullable InstanceId mLeader;
    private long mLastNumber;

    /** A request that waits for an upstream or has one. */
    private static final class Asked {
        private final PlacementRequest mRequest;
        private final Consumer<PlacementAction> mAnswer;
        private @Nullable InstanceId mScheduler;
        private PlacementAction.@Nullable Grant mGrant;
        private boolean mStarted;

        Asked(PlacementRequest request, Consumer<PlacementAction> answer) {
            mRequest = request;
            mAnswer = answer;
        }
    }

    EntryPlacement(
            InstanceId self,
            PeerNetwork network,
            PlacementLimits limits,
            Clocks clocks,
            Executor executor) {
        mSelf = self;
        mNetwork = network;
        mClocks = clocks;
        mExecutor = executor;
        mAlone = new PlacementScheduler(limits);
        mAlone.configureStandalone(1, self.hashCode());
        mLastNumber = TimeUnit.MILLISECONDS.toNanos(clocks.nowMillis());
    }

    // What the instance hears.

    void routing(RoutingTable routing, Set<FailureDomain> domainsOut) {
        mAlone.setRouting(routing, domainsOut);
        decideAlone();
    }

    void heard(UpstreamStatus notice, long heardNanos) {
        mAlone.updateUpstream(notice, heardNanos);
    }

    void leaderFound(InstanceId leader, int entries) {
        mLeader = leader;
        mAlone.configureStandalone(entries, mSelf.hashCode());
        for (Asked asked : List.copyOf(mAsked.values())) {
            PlacementAction.Grant grant = asked.mGrant;
            if (grant == null) {
                mAlone.withdraw(asked.mRequest.key());
                askLeader(leader, asked);
            } else {
                asked.mScheduler = leader;
                tell(
                        asked,
                        new PlacementEvent.Held(
                                asked.mRequest, grant.grant().upstream(), asked.mStarted));
            }
        }
    }

    void leaderLost() {
        mLeader = null;
        List<Asked> waiting =
                mAsked.values().stream()
                        .filter(asked -> asked.mGrant == null && asked.mScheduler != null)
                        .toList();
        waiting.forEach(this::askAlone);
        decideAlone();
    }

    void tick(long nowNanos) {
        if (mAlone.waitingCount() > 0) {
            decideAlone();
        }
        mAlone.removeSilentUpstreams(nowNanos);
    }

    // PlacementPort.

    @Override
    public PlacementKey newKey() {
        mLastNumber++;
        return new PlacementKey(mSelf, mLastNumber);
    }

    @Override
    public void submit(PlacementRequest request, Consumer<PlacementAction> answer) {
        Asked asked = new Asked(request, answer);
        mAsked.put(request.key(), asked);
        InstanceId leader = mLeader;
        if (leader == null) {
            askAlone(asked);
            decideAlone();
        } else {
            askLeader(leader, asked);
        }
    }

    @Override
    public void withdraw(PlacementKey key) {
        Asked asked = mAsked.remove(key);
        if (asked != null) {
            tell(asked, new PlacementEvent.Withdrawn(key));
            mAlone.withdraw(key);
        }
    }

    @Override
    public void recordFirstEvent(PlacementKey key) {
        Asked asked = mAsked.get(key);
        if (asked != null) {
            asked.mStarted = true;
            tell(asked, new PlacementEvent.Started(key));
            mAlone.recordFirstEvent(key, mClocks.nowNanos());
        }
    }

    @Override
    public void recordLateEvent(PlacementKey key, long gapMillis) {
        Asked asked = mAsked.get(key);
        if (asked != null) {
            tell(asked, new PlacementEvent.Delayed(key, gapMillis));
            mAlone.recordLateEvent(key, gapMillis, mClocks.nowNanos());
        }
    }

    @Override
    public void ended(PlacementKey key, PlacementOutcome outcome, String culprit) {
        Asked asked = mAsked.remove(key);
        if (asked != null) {
            tell(asked, new PlacementEvent.Ended(key, outcome, culprit));
            mAlone.ended(key, outcome, culprit, mClocks.nowNanos());
            decideAlone();
        }
    }

    // Helpers.

    private void askAlone(Asked asked) {
        asked.mScheduler = null;
        mAlone.submit(asked.mRequest, mClocks.nowNanos());
    }

    private void askLeader(InstanceId leader, Asked asked) {
        long nowNanos = mClocks.nowNanos();
        asked.mScheduler = leader;
        long limit = Math.max(0, asked.mRequest.latestStartNanos() - nowNanos) + ANSWER_SLACK_NANOS;
        CompletionStage<Either<TransportFailure, Bytes>> answer =
                mNetwork.request(
                        leader,
                        FrameType.PLACE.number(),
                        PlacementCodec.encode(asked.mRequest, nowNanos),
                        limit);
        answer.thenAccept(
                content -> mExecutor.execute(() -> leaderAnswered(leader, asked, content)));
    }

    private void leaderAnswered(
            InstanceId leader, Asked asked, Either<TransportFailure, Bytes> content) {
        PlacementKey key = asked.mRequest.key();
        Optional<PlacementAction> action =
                content.toOption()
                        .flatMap(
                                bytes ->
                                        PlacementCodec.action(key, bytes)
                                                .peekLeft(
                                                        fault ->
                                                                LOG.failure(
                                                                        "frame_malformed", fault))
                                                .toOption())
                        .toJavaOptional()
                        .flatMap(Function.identity());
        boolean awaited =
                mAsked.get(key) == asked && asked.mGrant == null && leader.equals(asked.mScheduler);
        if (!awaited) {
            if (action.isPresent() && action.get() instanceof PlacementAction.Grant) {
                // Decided elsewhere meanwhile; the leader's place is free again.
                send(leader, new PlacementEvent.Ended(key, PlacementOutcome.CANCELLED, ""));
            }
            return;
        }
        if (action.isEmpty()) {
            LOG.info(
                    "placement_unanswered",
                    "request",
                    asked.mRequest.requestId(),
                    "leader",
                    leader,
                    "failure",
                    content.fold(TransportFailure::code, none -> "not_leading"));
            askAlone(asked);
            decideAlone();
            return;
        }
        if (action.get() instanceof PlacementAction.Grant grant) {
            mAlone.registerRunning(
                    asked.mRequest, grant.grant().upstream(), false, mClocks.nowNanos());
        }
        decided(asked, action.get());
    }

    private void decideAlone() {
        for (PlacementAction action : new ArrayList<>(mAlone.decide(mClocks.nowNanos()))) {
            Asked asked = mAsked.get(action.key());
            if (asked != null && asked.mGrant == null) {
                decided(asked, action);
            }
        }
    }

    private void decided(Asked asked, PlacementAction action) {
        switch (action) {
            case PlacementAction.Grant grant -> asked.mGrant = grant;
            case PlacementAction.Reject _ -> mAsked.remove(action.key());
        }
        asked.mAnswer.accept(action);
    }

    private void tell(Asked asked, PlacementEvent event) {
        InstanceId scheduler = asked.mScheduler;
        if (scheduler != null && scheduler.equals(mLeader)) {
            send(scheduler, event);
        }
    }

    private void send(InstanceId leader, PlacementEvent event) {
        mNetwork.send(
                        leader,
                        FrameType.PLACEMENT_EVENT.number(),
                        PlacementEvent.encode(event, mClocks.nowNanos()))
                .peek(failure -> LOG.failure("placement_event_lost", failure, "leader", leader));
    }
}
