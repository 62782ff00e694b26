package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.LeaseCodec;
import dev.kumquatweir.agreement.lease.LeaseRequest;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.RaftSettings;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.program.permit.PermitPort;
import dev.kumquatweir.program.permit.UpstreamObservations;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.settings.PeerSettings;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.Responder;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The control plane on the replicated log. An instance with a data folder runs a replica; every
 * instance holds a configuration lease and reaches the leader for the rest. Thread-safe.
 */
public final class ReplicatedControl implements ControlPlane {
    private static final EventLog LOG = EventLog.of(ReplicatedControl.class);
    private static final long HAND_OVER_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final InstanceSettings mSettings;
    private final PeerNetwork mNetwork;
    private final Clocks mClocks;
    private final @Nullable ReplicaDuty mReplica;
    private final LeaderClient mLeader;
    private final LeaseKeeper mLeases;
    private final ReplicatedClaims mClaims;
    private final PermitClient mPermits;

    private ReplicatedControl(
            InstanceSettings settings,
            PeerNetwork network,
            Clocks clocks,
            FoundingDuty.@Nullable Ready store,
            Optional<Bytes> firstConfiguration,
            Runnable onFatal) {
        mSettings = settings;
        mNetwork = network;
        mClocks = clocks;
        long processNonce = new SecureRandom().nextLong();
        UpstreamObservations observations = new UpstreamObservations(clocks);
        mReplica = store == null ? null : replica(store, firstConfiguration, onFatal, observations);
        mLeader =
                new LeaderClient(
                        settings.id(),
                        voters(settings).stream().map(PeerSettings::id).toList(),
                        network,
                        mReplica,
                        clocks);
        mLeases = new LeaseKeeper(settings.id(), processNonce, mLeader, network, mReplica, clocks);
        mClaims = new ReplicatedClaims(settings.id(), processNonce, mLeader);
        mPermits = new PermitClient(settings.id(), mLeader, network, mReplica, observations);
    }

    /**
     * Opens the store, if the instance has one, and waits until its group is known.
     *
     * @param stores opens the store of the data folder, empty for an instance without a disk
     * @param firstConfiguration document of a new cluster in its stored form
     * @param onFatal ends the process when the store or the replica can't go on safely
     * @return the control plane, not yet started
     * @throws FailureException if the store can't be used
     */
    public static ReplicatedControl open(
            InstanceSettings settings,
            PeerNetwork network,
            Clocks clocks,
            Optional<Supplier<LogStore>> stores,
            Optional<Bytes> firstConfiguration,
            Runnable onFatal) {
        FoundingDuty.Ready ready =
                stores.flatMap(
                                opener ->
                                        new FoundingDuty(
                                                        settings.id(),
                                                        voters(settings),
                                                        network,
                                                        opener,
                                                        true)
                                                .await(() -> false))
                        .orElse(null);
        return new ReplicatedControl(settings, network, clocks, ready, firstConfiguration, onFatal);
    }

    @Override
    public void start() {
        ReplicaDuty replica = mReplica;
        if (replica != null) {
            ReplicaFrames.handleAgreement(mNetwork, replica);
            replica.start();
        }
        ReplicaFrames.handleCommands(mNetwork, replica);
        mNetwork.handle(
                FrameType.LEASE.number(),
                (peer, payload, responder) -> lease(replica, payload, responder));
        mPermits.start();
        mLeases.start();
        mClaims.start();
    }

    @Override
    public ConfigurationPort configuration() {
        return mLeases;
    }

    @Override
    public ClaimPort claims() {
        return mClaims;
    }

    @Override
    public PermitPort permits() {
        return mPermits;
    }

    @Override
    public CompletionStage<ControlReply> submit(ControlRequest request, long limitNanos) {
        return mLeader.ask(request, limitNanos);
    }

    @Override
    public ReplicaStatus replicaStatus() {
        ReplicaDuty replica = mReplica;
        return replica == null ? ReplicaStatus.NONE : replica.status();
    }

    @Override
    public void handOver() {
        waitFor(mLeases.surrender(HAND_OVER_NANOS));
        ReplicaDuty replica = mReplica;
        if (replica != null) {
            waitFor(replica.transfer());
        }
    }

    @Override
    public void stop() {
        mClaims.stop();
        mLeases.stop();
        ReplicaDuty replica = mReplica;
        if (replica != null) {
            replica.stop();
        }
    }

    private ReplicaDuty replica(
            FoundingDuty.Ready store,
            Optional<Bytes> firstConfiguration,
            Runnable onFatal,
            UpstreamObservations observations) {
        return new ReplicaDuty(
                RaftSettings.builder(mSettings.cluster()).build(),
                mSettings.id(),
                store.state(),
                store.store(),
                new ReplicaPorts(
                        mClocks,
                        message -> ReplicaFrames.send(mNetwork, message),
                        this::membershipChanged,
                        onFatal,
                        observations,
                        routing -> {},
                        0),
                firstConfiguration);
    }

    private void membershipChanged(Membership membership) {
        LOG.info("members_changed", "members", membership.members());
        Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();
        mSettings.peers().forEach(peer -> addresses.put(peer.id(), peer.address()));
        membership
                .members()
                .forEach(
                        member ->
                                addresses.put(
                                        new InstanceId(member.id().name()),
                                        Addresses.parse(member.address())));
        mNetwork.peers(addresses);
        mLeader.voters(
                membership.members().stream()
                        .filter(Member::isVoter)
                        .map(member -> new InstanceId(member.id().name()))
                        .toList());
    }

    private static void lease(@Nullable ReplicaDuty replica, Bytes payload, Responder responder) {
        if (replica == null) {
            responder.respond(LeaseAnswer.refused("").encode());
            return;
        }
        LeaseCodec.decodeRequest(payload)
                .peek(ask -> grant(replica, ask, responder))
                .peekLeft(fault -> LOG.failure("frame_malformed", fault));
    }

    private static void grant(ReplicaDuty replica, LeaseRequest ask, Responder responder) {
        replica.grant(ask)
                .thenAccept(
                        grant -> {
                            String leader = replica.leader().map(InstanceId::value).orElse("");
                            responder.respond(new LeaseAnswer(grant, leader).encode());
                        });
    }

    private static void waitFor(CompletionStage<ControlReply> reply) {
        try {
            reply.toCompletableFuture().get(HAND_OVER_NANOS, TimeUnit.NANOSECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException exception) {
            LOG.warn("hand_over_incomplete", "problem", exception.getClass().getSimpleName());
        }
    }

    private static List<PeerSettings> voters(InstanceSettings settings) {
        return settings.peers().stream()
                .filter(PeerSettings::voter)
                .sorted(Comparator.comparing(PeerSettings::id))
                .toList();
    }
}
