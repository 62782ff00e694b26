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
    private final PresenceFrames mPresence;
    private final RemovedMembers mRemovedMembers;
    private final MemoryDuty mDuty;

    /**
     * Wires the reconciliation; it does not run yet.
     *
     * @param incarnation incarnation of this instance
     * @param engines asks engines for their memory
     * @param held what this instance needs on engines
     */
    public MemoryReconciliation(
            InstanceSettings settings,
            long incarnation,
            ControlPlane control,
            PeerNetwork network,
            DispatchDuty dispatch,
            EngineMemory engines,
            HeldMemory held,
            MetricRegistry metrics,
            Clocks clocks) {
        mNetwork = network;
        mPresence = new PresenceFrames(network, settings.otherInstances(), incarnation);
        MemoryPorts ports =
                new MemoryPorts(
                        engines,
                        held,
                        dispatch::upstreams,
                        control.configuration(),
                        new ReclaimMetrics(metrics),
                        this::tick);
        mDuty = new MemoryDuty(settings.id(), incarnation, ports, clocks);
        mRemovedMembers = new RemovedMembers(control, voters(settings), mDuty::removed);
    }

    /** Starts to reconcile. */
    public void start() {
        mNetwork.handle(
                FrameType.PRESENCE.number(), (peer, payload, responder) -> take(peer, payload));
        mDuty.start();
    }

    /** Stops, after the last work of this instance has ended, and tells the others so. */
    public void stop() {
        mDuty.stop();
        mPresence.tell(true);
    }

    private void tick() {
        mPresence.tell(false);
        mRemovedMembers.tick();
    }

    private void take(InstanceId peer, Bytes payload) {
        PresenceFrames.decode(payload)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", peer))
                .peek(
                        presence -> {
                            if (presence.ended()) {
                                mDuty.stopped(peer, presence.incarnation());
                            } else {
                                mDuty.heard(peer, presence.incarnation());
                            }
                        });
    }

    private static List<InstanceId> voters(InstanceSettings settings) {
        return settings.peers().stream().filter(PeerSettings::voter).map(PeerSettings::id).toList();
    }
}
