package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.MembershipChange;
import dev.kumquatweir.agreement.raft.RaftSettings;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.permit.UpstreamObservations;
import dev.kumquatweir.settings.FleetSettings;
import dev.kumquatweir.settings.PeerSettings;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Access of a control instance of the fleet to the replicated control state. The seed instances
 * bootstrap the Raft group; later instances join and replace lost members without an operator.
 * Thread-safe after {@link #start}.
 */
public final class GroupControl {
    private static final EventLog LOG = EventLog.of(GroupControl.class);
    private static final long COMMAND_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    private static final long JOIN_AND_READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long JOIN_CHECK_INTERVAL_MILLIS = 400;
    private static final long HAND_OVER_TIMEOUT_MILLIS = 1_000;

    private static final long DEPARTURE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** The network delay between members is a few milliseconds; an election takes under 1 s. */
    private static final long HEARTBEAT_INTERVAL_MILLIS = 100;

    private final FleetSettings mSettings;
    private final Clocks mClocks;
    private final LeaderClient mLeader;
    private final ReplicaEventLoop mReplica;
    private final MemberId mSelf;
    private final EventLoop mJoinLoop;
    private final int mVoterTarget;
    private volatile Membership mMembership = Membership.EMPTY;
    private volatile boolean mDeparting;

    /**
     * Callbacks for changes. Called on the replica's event loop; must not block.
     *
     * @param onRoutingChange called when the routing document or the failure domains out of service
     *     have changed
     * @param onMembershipChange called when the members of the group have changed
     */
    public record Listeners(
            Consumer<RoutingImage> onRoutingChange,
            Consumer<List<InstanceId>> onMembershipChange) {}

    private GroupControl(
            FleetSettings settings,
            PeerNetwork network,
            Clocks clocks,
            GroupBootstrapper.OpenedStore opened,
            Listeners listeners,
            Runnable onFatal) {
        mSettings = settings;
        mClocks = clocks;
        mSelf = new MemberId(settings.id().value(), opened.state().storeId());
        int durableCopies = settings.lostDisks() + 1;
        mVoterTarget = 2 * settings.lostDisks() + 1;
        mReplica =
                new ReplicaEventLoop(
                        RaftSettings.builder(settings.cluster())
                                .durableCopies(durableCopies)
                                .heartbeatIntervalMillis(
                                        HEARTBEAT_INTERVAL_MILLIS, 5 * HEARTBEAT_INTERVAL_MILLIS)
                                .electionTimeoutMillis(
                                        4 * HEARTBEAT_INTERVAL_MILLIS,
                                        8 * HEARTBEAT_INTERVAL_MILLIS)
                                .build(),
                        settings.id(),
                        opened.state(),
                        opened.store(),
                        new ReplicaPorts(
                                clocks,
                                message -> ReplicaFrames.send(network, message),
                                membership ->
                                        membershipChanged(
                                                membership, listeners.onMembershipChange()),
                                onFatal,
                                new UpstreamObservations(clocks),
                                listeners.onRoutingChange(),
                                mVoterTarget),
                        Optional.empty());
        mLeader = new LeaderClient(settings.id(), settings.seeds(), network, mReplica, clocks);
        mJoinLoop =
                new EventLoop(
                        "joining",
                        1,
                        JOIN_CHECK_INTERVAL_MILLIS,
                        this::joinIfMissing,
                        (thread, fault) -> LOG.error("joining_fault", fault));
        ReplicaFrames.handleRaftMessages(network, mReplica);
        ReplicaFrames.handleCommands(network, mReplica);
    }

    // Lifecycle.

    /**
     * Opens the store and blocks until the group is created, restored from the store or to be
     * joined.
     *
     * @param network connections to the other instances, already listening
     * @param stores opens the store of the data folder
     * @param onFatal ends the process when the store or the replica can't continue safely
     */
    public static GroupControl open(
            FleetSettings settings,
            PeerNetwork network,
            Clocks clocks,
            Supplier<Either<Failure, LogStore>> stores,
            Listeners listeners,
            Runnable onFatal) {
        List<PeerSettings> initialVoters =
                settings.seeds().stream()
                        .sorted(Comparator.comparing(InstanceId::value))
                        .map(seed -> initialVoter(settings, seed))
                        .toList();
        GroupBootstrapper.OpenedStore opened =
                new GroupBootstrapper(
                                settings.id(),
                                initialVoters,
                                network,
                                stores,
                                clocks,
                                settings.firstStart())
                        .awaitGroup(() -> false)
                        .orElseThrow();
        return new GroupControl(settings, network, clocks, opened, listeners, onFatal);
    }

    private static PeerSettings initialVoter(FleetSettings settings, InstanceId seed) {
        InetSocketAddress address = new InetSocketAddress(seed.value(), settings.peerPort());
        return new PeerSettings(seed, address, settings.domain(), true);
    }

    /** Starts the replica and the join checks. */
    public void start() {
        mReplica.start();
        mJoinLoop.start();
    }

    /** Transfers leadership if this instance is the leader. Waits up to 1 s. */
    private void handOver() {
        try {
            mReplica.transferLeadership()
                    .toCompletableFuture()
                    .get(HAND_OVER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException exception) {
            LOG.warn("hand_over_incomplete", "problem", exception.getClass().getSimpleName());
        }
    }

    /**
     * Hands this voter's place to a learner, if the group has one, so that the group doesn't count
     * on this instance once it has stopped. Begins no step after the given time; a transfer of
     * leadership that has begun may take 1 s longer. This instance joins again at its next start
     * only.
     */
    public void depart(long untilNanos) {
        mDeparting = true;
        mJoinLoop.stop();
        handOver();
        int refusals = 0;
        Membership membership = mMembership;
        while (DeparturePlanner.nextStep(membership, mSelf, mVoterTarget, refusals)
                        instanceof DeparturePlanner.Step.Request request
                && mClocks.nowNanos() - untilNanos < 0) {
            ControlRequest change = new ControlRequest.ChangeMembers(request.change());
            ControlReply reply = await(change, untilNanos);
            LOG.info("departure_step", "change", request.change(), "reply", reply);
            if (!(reply instanceof ControlReply.Applied)) {
                refusals++;
                // This voter may have become the leader, which can't remove itself.
                handOver();
                LockSupport.parkNanos(DEPARTURE_RETRY_NANOS);
            }
            if (await(new ControlRequest.ReadMembers(), untilNanos)
                    instanceof ControlReply.Members members) {
                membership = new Membership(members.members());
            }
        }
    }

    private ControlReply await(ControlRequest request, long untilNanos) {
        long remainingNanos = Math.max(0, untilNanos - mClocks.nowNanos());
        long timeoutNanos = Math.min(remainingNanos, JOIN_AND_READ_TIMEOUT_NANOS);
        // The stage always completes, at the latest after the timeout.
        return mLeader.submit(request, timeoutNanos).toCompletableFuture().join();
    }

    /** Stops the join checks and the replica. */
    public void stop() {
        mJoinLoop.stop();
        mReplica.stop();
    }

    // Public API.

    /**
     * Stores a routing document if its version is higher than that of the stored one.
     *
     * @return version of the document stored afterwards
     */
    public CompletionStage<Either<Failure, Long>> storeRouting(long version, Bytes document) {
        ControlRequest request =
                new ControlRequest.Propose(new StateCommand.PutRouting(0, version, document));
        return mLeader.submit(request, COMMAND_TIMEOUT_NANOS)
                .thenApply(GroupControl::storedVersion);
    }

    /**
     * Takes a failure domain out of service or back into service.
     *
     * @param callerWaits returns whether the caller still waits for the result
     */
    public CompletionStage<Either<Failure, Boolean>> setDomain(
            FailureDomain domain, boolean outOfService, BooleanSupplier callerWaits) {
        DomainOrder order =
                new DomainOrder(domain, outOfService, mClocks.nowNanos() + COMMAND_TIMEOUT_NANOS);
        return advance(order, order.start(), callerWaits);
    }

    private CompletionStage<Either<Failure, Boolean>> advance(
            DomainOrder order, DomainOrder.Step step, BooleanSupplier callerWaits) {
        return switch (step) {
            case DomainOrder.Step.Read _ ->
                    readRouting()
                            .thenApply(state -> order.afterRead(state, callerWaits.getAsBoolean()))
                            .thenCompose(next -> advance(order, next, callerWaits));
            case DomainOrder.Step.Propose propose ->
                    mLeader.submit(
                                    new ControlRequest.Propose(propose.command()),
                                    COMMAND_TIMEOUT_NANOS)
                            .thenApply(
                                    reply ->
                                            order.afterProposal(
                                                    commandResult(reply), mClocks.nowNanos()))
                            .thenCompose(next -> advance(order, next, callerWaits));
            case DomainOrder.Step.Finish finish ->
                    CompletableFuture.completedFuture(finish.result());
        };
    }

    /** Reads the newest routing state with a linearizable read. */
    public CompletionStage<Either<Failure, RoutingImage>> readRouting() {
        return mLeader.submit(new ControlRequest.ReadRouting(), JOIN_AND_READ_TIMEOUT_NANOS)
                .thenApply(
                        reply ->
                                reply instanceof ControlReply.Routing routing
                                        ? Either.right(routing.image())
                                        : Either.left(failure(reply)));
    }

    /** Returns the status of this replica. */
    public ReplicaStatus status() {
        return mReplica.status();
    }

    /** Returns the leader known to this replica. */
    public Optional<InstanceId> leader() {
        return mReplica.leader();
    }

    /** Returns the group members known to this replica, voters first. */
    public List<InstanceId> members() {
        return mMembership.members().stream()
                .sorted(Comparator.comparing(member -> !member.isVoter()))
                .map(member -> new InstanceId(member.id().name()))
                .toList();
    }

    /** Sets the candidates for leader as long as this replica knows no membership. */
    public void updateKnownInstances(List<InstanceId> instances) {
        if (mMembership.members().isEmpty()) {
            mLeader.setVoters(instances);
        }
    }

    // Helpers.

    private void membershipChanged(Membership membership, Consumer<List<InstanceId>> listener) {
        LOG.info("members_changed", "members", membership.members());
        mMembership = membership;
        mLeader.setVoters(
                membership.members().stream()
                        .filter(Member::isVoter)
                        .map(member -> new InstanceId(member.id().name()))
                        .toList());
        listener.accept(members());
    }

    /** Requests to be added to the group while this store is not a member of it. */
    private void joinIfMissing() {
        Membership known = mMembership;
        if (known.find(mSelf).isPresent() && mReplica.leader().isPresent()) {
            return;
        }
        mLeader.submit(new ControlRequest.ReadMembers(), JOIN_AND_READ_TIMEOUT_NANOS)
                .thenAccept(this::join);
    }

    private void join(ControlReply reply) {
        if (mDeparting || !(reply instanceof ControlReply.Members members)) {
            return;
        }
        Membership membership = new Membership(members.members());
        if (membership.find(mSelf).isPresent()) {
            return;
        }
        String address = mSettings.id().value() + ":" + mSettings.peerPort();
        MembershipChange change =
                membership.byName(mSelf.name()).isPresent()
                        ? new MembershipChange.Replace(mSelf, address)
                        : new MembershipChange.AddLearner(mSelf, address);
        LOG.info("join_asked", "change", change, "term", members.term());
        mLeader.submit(new ControlRequest.ChangeMembers(change), JOIN_AND_READ_TIMEOUT_NANOS);
    }

    private static Either<Failure, Long> storedVersion(ControlReply reply) {
        return commandResult(reply)
                .flatMap(
                        result ->
                                result instanceof StateResult.RoutingStored stored
                                        ? Either.right(stored.storedVersion())
                                        : Either.left(
                                                new ControlFailure.Malformed(
                                                        "unexpected command result")));
    }

    private static Either<Failure, StateResult> commandResult(ControlReply reply) {
        return reply instanceof ControlReply.Applied applied
                ? Either.right(applied.result())
                : Either.left(failure(reply));
    }

    private static Failure failure(ControlReply reply) {
        return reply instanceof ControlReply.Failed failed
                ? failed.failure()
                : new ControlFailure.Malformed("unexpected control reply");
    }
}
