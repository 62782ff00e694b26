package dev.kumquatweir.program.memory;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.memory.EngineMemory;
import dev.kumquatweir.gateway.memory.HeldMemory;
import dev.kumquatweir.gateway.memory.MemoryDuty;
import dev.kumquatweir.gateway.memory.MemoryPorts;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.settings.PeerSettings;
import dev.kumquatweir.transport.PeerNetwork;
import java.util.List;

/**
 * Memory reconciliation of one instance and what feeds it: the words of the other instances and the
 * agreed members. {@link #start} and {@link #stop} are called once each.
 */
public final class MemoryReconciliation {
    private static final EventLog LOG = EventLog.of(MemoryReconciliation.class);

    private final PeerNetwork mNetwork;
    private final PresenceFrames mPresenceFrames;
    private final RemovedMemberTracker mRemovedMembers;
    private final MemoryDuty mReconciler;

    /**
     * Wires the reconciliation; it does not run yet.
     *
     * @param incarnation incarnation of this instance
     * @param engineMemory asks engines for their memory
     * @param heldMemory what this instance needs on engines
     */
    public MemoryReconciliation(
            InstanceSettings settings,
            long incarnation,
            ControlPlane control,
            PeerNetwork network,
            DispatchDuty dispatch,
            EngineMemory engineMemory,
            HeldMemory heldMemory,
            MetricRegistry metrics,
            Clocks clocks) {
        mNetwork = network;
        mPresenceFrames = new PresenceFrames(network, settings.otherInstances(), incarnation);
        MemoryPorts ports =
                new MemoryPorts(
                        engineMemory,
                        heldMemory,
                        dispatch::upstreams,
                        control.configuration(),
                        new ReclaimMetrics(metrics),
                        this::tick);
        mReconciler = new MemoryDuty(settings.id(), incarnation, ports, clocks);
        mRemovedMembers = new RemovedMemberTracker(control, voters(settings), mReconciler::removed);
    }

    /** Starts to reconcile. */
    public void start() {
        mNetwork.handle(
                FrameType.PRESENCE.number(),
                (peer, payload, responder) -> handlePresence(peer, payload));
        mReconciler.start();
    }

    /** Stops, after the last work of this instance has ended, and tells the others so. */
    public void stop() {
        mReconciler.stop();
        mPresenceFrames.broadcast(true);
    }

    private void tick() {
        mPresenceFrames.broadcast(false);
        mRemovedMembers.tick();
    }

    private void handlePresence(InstanceId peer, Bytes payload) {
        PresenceFrames.decode(payload)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", peer))
                .peek(
                        presence -> {
                            if (presence.ended()) {
                                mReconciler.stopped(peer, presence.incarnation());
                            } else {
                                mReconciler.heard(peer, presence.incarnation());
                            }
                        });
    }

    private static List<InstanceId> voters(InstanceSettings settings) {
        return settings.peers().stream().filter(PeerSettings::voter).map(PeerSettings::id).toList();
    }
}
