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
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The agreed state of a control instance whose group is founded by its seeds and whose members join
 * and are replaced by themselves. Thread-safe after {@link #start}.
 */
public final class GroupControl {
    private static final EventLog LOG = EventLog.of(GroupControl.class);
    private static final long COMMAND_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    private static final long JOIN_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long JOIN_CHECK_MILLIS = 400;
    private static final long HAND_OVER_MILLIS = 1_000;

    /** All members are within a few milliseconds of each other; an election takes under 1 s. */
    private static final long HEARTBEAT_MILLIS = 100;

    private final FleetSettings mSettings;
    private final LeaderClient mLeader;
    private final ReplicaDuty mReplica;
    private final MemberId mSelf;
    private final EventLoop mJoining;
    private volatile Membership mMembership = Membership.EMPTY;

    /**
     * Tells of changes. Called on the duty of the replica; must not block.
     *
     * @param onRouting the routing document or the failure domains out of service have changed
     * @param onMembers the members of the group have changed
     */
    public record Listeners(
            Consumer<RoutingImage> onRouting, Consumer<List<InstanceId>> onMembers) {}

    private GroupControl(
            FleetSettings settings,
            PeerNetwork network,
            Clocks clocks,
            FoundingDuty.Ready ready,
            Listeners listeners,
            Runnable onFatal) {
        mSettings = settings;
        mSelf = new MemberId(settings.id().value(), ready.state().storeId());
        int copies = settings.lostDisks() + 1;
        int voters = 2 * settings.lostDisks() + 1;
        mReplica =
                new ReplicaDuty(
                        RaftSettings.builder(settings.cluster())
                                .durableCopies(copies)
                                .heartbeatIntervalMillis(HEARTBEAT_MILLIS, 5 * HEARTBEAT_MILLIS)
                                .electionTimeoutMillis(4 * HEARTBEAT_MILLIS, 8 * HEARTBEAT_MILLIS)
                                .build(),
                        settings.id(),
                        ready.state(),
                        ready.store(),
                        new ReplicaPorts(
                                clocks,
                                message -> ReplicaFrames.send(network, message),
                                membership -> membershipChanged(membership, listeners.onMembers()),
                                onFatal,
                                new UpstreamObservations(clocks),
                                listeners.onRouting(),
                                voters),
                        Optional.empty());
        mLeader = new LeaderClient(settings.id(), settings.seeds(), network, mReplica, clocks);
        mJoining =
                new EventLoop(
                        "joining",
                        1,
                        JOIN_CHECK_MILLIS,
                        this::joinIfMissing,
                        (thread, fault) -> LOG.error("joining_fault", fault));
        ReplicaFrames.handleAgreement(network, mReplica);
        ReplicaFrames.handleCommands(network, mReplica);
    }

    // Life-cycle.

    /**
     * Opens the store and waits until the group is known: founded, remembered, or to be joined.
     *
     * @param network connections to the other instances, already listening
     * @param stores opens the store of the data folder
     * @param onFatal ends the process: the store or the replica can't go on safely
     */
    public static GroupControl open(
            FleetSettings settings,
            PeerNetwork network,
            Clocks clocks,
            Supplier<LogStore> stores,
            Listeners listeners,
            Runnable onFatal) {
        List<PeerSettings> founders =
                settings.seeds().stream()
                        .sorted(Comparator.comparing(InstanceId::value))
                        .map(seed -> founder(settings, seed))
                        .toList();
        FoundingDuty.Ready ready =
                new FoundingDuty(settings.id(), founders, network, stores, settings.firstStart())
                        .await(() -> false)
                        .orElseThrow();
        return new GroupControl(settings, network, clocks, ready, listeners, onFatal);
    }

    private static PeerSettings founder(FleetSettings settings, InstanceId seed) {
        InetSocketAddress address = new InetSocketAddress(seed.value(), settings.peerPort());
        return new PeerSettings(seed, address, settings.domain(), true);
    }

    /** Starts the replica. */
    public void start() {
        mReplica.start();
        mJoining.start();
    }

    /** Hands leadership over, if this instance leads. */
    public void handOver() {
        try {
            mReplica.transfer().toCompletableFuture().get(HAND_OVER_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException exception) {
            LOG.warn("hand_over_incomplete", "problem", exception.getClass().getSimpleName());
        }
    }

    /** Stops the replica. */
    public void stop() {
        mJoining.stop();
        mReplica.stop();
    }

    // Public API.

    /** Stores a routing document if its version is higher than the one held. */
    public CompletionStage<Either<Failure, Long>> putRouting(long version, Bytes document) {
        ControlRequest request =
                new ControlRequest.Propose(new StateCommand.PutRouting(0, version, document));
        return mLeader.ask(request, COMMAND_NANOS).thenApply(reply -> held(reply, version));
    }

    /** Takes a failure domain out of service or returns it. */
    public CompletionStage<Either<Failure, Boolean>> setDomain(FailureDomain domain, boolean out) {
        ControlRequest request =
                new ControlRequest.Propose(new StateCommand.SetDomain(0, domain, out));
        return mLeader.ask(request, COMMAND_NANOS)
                .thenApply(reply -> held(reply, 0).map(version -> true));
    }

    /** Reads the newest routing document, linearizably. */
    public CompletionStage<Either<Failure, RoutingImage>> readRouting() {
        return mLeader.ask(new ControlRequest.ReadRouting(), JOIN_NANOS)
                .thenApply(
                        reply ->
                                reply instanceof ControlReply.Routing routing
                                        ? Either.right(routing.image())
                                        : Either.left(failure(reply)));
    }

    /** Returns how far this replica is. */
    public ReplicaStatus status() {
        return mReplica.status();
    }

    /** Returns the leader that this replica knows. */
    public Optional<InstanceId> leader() {
        return mReplica.leader();
    }

    /** Returns the members that this replica knows, voters first. */
    public List<InstanceId> members() {
        return mMembership.members().stream()
                .sorted(Comparator.comparing(member -> !member.isVoter()))
                .map(member -> new InstanceId(member.id().name()))
                .toList();
    }

    /** Takes note of control instances that were heard of, which may lead. */
    public void knownInstances(List<InstanceId> instances) {
        if (mMembership.members().isEmpty()) {
            mLeader.voters(instances);
        }
    }

    // Helpers.

    private void membershipChanged(Membership membership, Consumer<List<InstanceId>> listener) {
        LOG.info("members_changed", "members", membership.members());
        mMembership = membership;
        mLeader.voters(
                membership.members().stream()
                        .filter(Member::isVoter)
                        .map(member -> new InstanceId(member.id().name()))
                        .toList());
        listener.accept(members());
    }

    /** Asks to be added while the group does not know this store. */
    private void joinIfMissing() {
        Membership known = mMembership;
        if (known.find(mSelf).isPresent() && mReplica.leader().isPresent()) {
            return;
        }
        mLeader.ask(new ControlRequest.ReadMembers(), JOIN_NANOS).thenAccept(this::join);
    }

    private void join(ControlReply reply) {
        if (!(reply instanceof ControlReply.Members members)) {
            return;
        }
        Membership present = new Membership(members.members());
        if (present.find(mSelf).isPresent()) {
            return;
        }
        String address = mSettings.id().value() + ":" + mSettings.peerPort();
        MembershipChange change =
                present.byName(mSelf.name()).isPresent()
                        ? new MembershipChange.Replace(mSelf, address)
                        : new MembershipChange.AddLearner(mSelf, address);
        LOG.info("join_asked", "change", change, "term", members.term());
        mLeader.ask(new ControlRequest.ChangeMembers(change), JOIN_NANOS);
    }

    private static Either<Failure, Long> held(ControlReply reply, long version) {
        if (reply instanceof ControlReply.Applied applied) {
            return switch (applied.result()) {
                case StateResult.RoutingStored held -> Either.right(held.storedVersion());
                case StateResult.DomainUpdated _ -> Either.right(version);
                default -> Either.left(new ControlFailure.Malformed("unexpected result"));
            };
        }
        return Either.left(failure(reply));
    }

    private static Failure failure(ControlReply reply) {
        return reply instanceof ControlReply.Failed failed
                ? failed.failure()
                : new ControlFailure.Malformed("unexpected reply");
    }
}
