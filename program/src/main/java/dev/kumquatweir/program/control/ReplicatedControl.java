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
import dev.kumquatweir.core.failure.Failure;
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
import io.vavr.control.Either;
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
 * Control plane backed by the replicated log. An instance with a data folder runs a replica. Every
 * instance holds a configuration lease and sends all other requests to the leader. Thread-safe.
 */
public final class ReplicatedControl implements ControlPlane {
    private static final EventLog LOG = EventLog.of(ReplicatedControl.class);
    private static final long HAND_OVER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final InstanceSettings mSettings;
    private final PeerNetwork mNetwork;
    private final Clocks mClocks;
    private final @Nullable ReplicaEventLoop mReplica;
    private final LeaderClient mLeader;
    private final ConfigurationLeaseClient mLeases;
    private final ReplicatedClaims mClaims;
    private final PermitClient mPermits;

    private ReplicatedControl(
            InstanceSettings settings,
            PeerNetwork network,
            Clocks clocks,
            GroupBootstrapper.@Nullable OpenedStore store,
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
        mLeases =
                new ConfigurationLeaseClient(
                        settings.id(), processNonce, mLeader, network, mReplica, clocks);
        mClaims = new ReplicatedClaims(settings.id(), processNonce, mLeader);
        mPermits = new PermitClient(settings.id(), mLeader, network, mReplica, observations);
    }

    /**
     * Opens the store, if the instance has one, and blocks until the group is created, restored
     * from the store or to be joined.
     *
     * @param stores opens the store of the data folder, empty for an instance without a disk
     * @param firstConfiguration first document of a new cluster, in its stored form
     * @param onFatal ends the process when the store or the replica can't continue safely
     * @return the control plane, not yet started
     * @throws FailureException if the store can't be used
     */
    public static ReplicatedControl open(
            InstanceSettings settings,
            PeerNetwork network,
            Clocks clocks,
            Optional<Supplier<Either<Failure, LogStore>>> stores,
            Optional<Bytes> firstConfiguration,
            Runnable onFatal) {
        GroupBootstrapper.OpenedStore opened =
                stores.flatMap(
                                opener ->
                                        new GroupBootstrapper(
                                                        settings.id(),
                                                        voters(settings),
                                                        network,
                                                        opener,
                                                        clocks,
                                                        true)
                                                .awaitGroup(() -> false))
                        .orElse(null);
        return new ReplicatedControl(
                settings, network, clocks, opened, firstConfiguration, onFatal);
    }

    @Override
    public void start() {
        ReplicaEventLoop replica = mReplica;
        if (replica != null) {
            ReplicaFrames.handleRaftMessages(mNetwork, replica);
            replica.start();
        }
        ReplicaFrames.handleCommands(mNetwork, replica);
        mNetwork.handle(
                FrameType.LEASE.number(),
                (peer, payload, responder) -> handleLeaseRequest(replica, payload, responder));
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
    public CompletionStage<ControlReply> submit(ControlRequest request, long timeoutNanos) {
        return mLeader.submit(request, timeoutNanos);
    }

    @Override
    public ReplicaStatus replicaStatus() {
        ReplicaEventLoop replica = mReplica;
        return replica == null ? ReplicaStatus.NONE : replica.status();
    }

    @Override
    public void handOver() {
        waitFor(mLeases.release(HAND_OVER_TIMEOUT_NANOS));
        ReplicaEventLoop replica = mReplica;
        if (replica != null) {
            waitFor(replica.transferLeadership());
        }
    }

    @Override
    public void stop() {
        mClaims.stop();
        mLeases.stop();
        ReplicaEventLoop replica = mReplica;
        if (replica != null) {
            replica.stop();
        }
    }

    private ReplicaEventLoop replica(
            GroupBootstrapper.OpenedStore store,
            Optional<Bytes> firstConfiguration,
            Runnable onFatal,
            UpstreamObservations observations) {
        return new ReplicaEventLoop(
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
        mLeader.setVoters(
                membership.members().stream()
                        .filter(Member::isVoter)
                        .map(member -> new InstanceId(member.id().name()))
                        .toList());
    }

    private static void handleLeaseRequest(
            @Nullable ReplicaEventLoop replica, Bytes payload, Responder responder) {
        if (replica == null) {
            responder.respond(LeaseResponse.refused("").encode());
            return;
        }
        LeaseCodec.decodeRequest(payload)
                .peek(request -> grantLease(replica, request, responder))
                .peekLeft(fault -> LOG.failure("frame_malformed", fault));
    }

    private static void grantLease(
            ReplicaEventLoop replica, LeaseRequest request, Responder responder) {
        replica.grant(request)
                .thenAccept(
                        grant -> {
                            String leader = replica.leader().map(InstanceId::value).orElse("");
                            responder.respond(new LeaseResponse(grant, leader).encode());
                        });
    }

    private static void waitFor(CompletionStage<ControlReply> reply) {
        try {
            reply.toCompletableFuture().get(HAND_OVER_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
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
