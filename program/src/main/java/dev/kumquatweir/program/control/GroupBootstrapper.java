package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.program.instance.StartRetry;
import dev.kumquatweir.settings.PeerSettings;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.TransportFailure;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Prepares the store of an instance with a data folder for its replica. If the store is empty,
 * polls the other voters for store reports until {@link GroupBootstrap} decides. Confined to one
 * thread, which blocks in {@link #awaitGroup}.
 */
final class GroupBootstrapper {
    private static final EventLog LOG = EventLog.of(GroupBootstrapper.class);
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final InstanceId mSelf;
    private final List<PeerSettings> mVoters;
    private final PeerNetwork mNetwork;
    private final Supplier<Either<Failure, LogStore>> mStoreOpener;
    private final Clocks mClocks;
    private final boolean mMayBootstrap;

    /**
     * Creates a bootstrapper. It reports to other instances once {@link #awaitGroup} is called.
     *
     * @param voters configured voters, including this instance, ordered by name
     * @param storeOpener opens the store of the data folder
     * @param mayBootstrap whether a new group may be created; if not, an instance with an empty
     *     store joins an existing group
     */
    GroupBootstrapper(
            InstanceId self,
            List<PeerSettings> voters,
            PeerNetwork network,
            Supplier<Either<Failure, LogStore>> storeOpener,
            Clocks clocks,
            boolean mayBootstrap) {
        mClocks = clocks;
        mMayBootstrap = mayBootstrap;
        mSelf = self;
        mVoters = List.copyOf(voters);
        mNetwork = network;
        mStoreOpener = storeOpener;
    }

    /**
     * Store that is ready for a replica.
     *
     * @param store the loaded store
     * @param state state read from the store
     */
    record OpenedStore(LogStore store, StoredState state) {}

    /**
     * Opens the store and blocks until it is known whether to create a group or to join one.
     *
     * @param stopped polled to cancel the wait
     * @return the store, empty if the wait was cancelled
     * @throws FailureException if the store can't be used
     */
    Optional<OpenedStore> awaitGroup(BooleanSupplier stopped) {
        OpenedStore opened = openStore();
        LogStore store = opened.store();
        StoredState state = opened.state();
        MemberId member = new MemberId(mSelf.value(), state.storeId());
        GroupBootstrap.StoreReport report =
                GroupBootstrap.StoreReport.of(member, state, mMayBootstrap);
        serveReport(report);
        if (!report.empty()) {
            return Optional.of(new OpenedStore(store, state));
        }
        GroupBootstrap bootstrap = new GroupBootstrap(member, mVoters);
        Map<InstanceId, GroupBootstrap.StoreReport> reports = new ConcurrentHashMap<>();
        while (mMayBootstrap && !stopped.getAsBoolean()) {
            switch (bootstrap.decide(reports)) {
                case GroupBootstrap.Decision.Bootstrap decision -> {
                    LOG.info(
                            "group_founded", "members", decision.snapshot().membership().members());
                    return Optional.of(writeInitialSnapshot(store, member, decision.snapshot()));
                }
                case GroupBootstrap.Decision.Join _ -> {
                    LOG.warn("waiting_to_be_added", "member", member);
                    return Optional.of(new OpenedStore(store, state));
                }
                case GroupBootstrap.Decision.Wait _ -> requestReports(reports);
            }
        }
        if (!mMayBootstrap) {
            LOG.info("joining_group", "member", member);
            return Optional.of(new OpenedStore(store, state));
        }
        store.close();
        return Optional.empty();
    }

    private OpenedStore writeInitialSnapshot(
            LogStore store, MemberId member, SnapshotImage snapshot) {
        StorageWrite initialWrite =
                new StorageWrite(
                        1,
                        Optional.of(new HardState(1, "")),
                        Optional.of(snapshot),
                        StorageWrite.NO_INDEX,
                        List.of(),
                        StorageWrite.NO_INDEX);
        StartRetry.await("found_group", mClocks, () -> store.write(List.of(initialWrite)));
        // Reopened because write sequence numbers restart at 1 each time a store is opened, and
        // the replica starts with 1.
        store.close();
        OpenedStore reopened = openStore();
        serveReport(GroupBootstrap.StoreReport.of(member, reopened.state(), mMayBootstrap));
        return reopened;
    }

    private OpenedStore openStore() {
        return StartRetry.await("open_store", mClocks, this::tryOpenStore);
    }

    private Either<? extends Failure, OpenedStore> tryOpenStore() {
        Either<? extends Failure, LogStore> opened = mStoreOpener.get();
        if (opened.isLeft()) {
            return Either.left(opened.getLeft());
        }
        LogStore store = opened.get();
        return store.load()
                .map(state -> new OpenedStore(store, state))
                .peekLeft(failure -> store.close());
    }

    private void serveReport(GroupBootstrap.StoreReport report) {
        Bytes content = encode(report);
        mNetwork.handle(
                FrameType.FOUNDING.number(),
                (peer, payload, responder) -> responder.respond(content));
    }

    private void requestReports(Map<InstanceId, GroupBootstrap.StoreReport> reports) {
        for (PeerSettings voter : mVoters) {
            if (!voter.id().equals(mSelf)) {
                requestReport(voter.id(), reports);
            }
        }
        LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }

    private void requestReport(
            InstanceId voter, Map<InstanceId, GroupBootstrap.StoreReport> reports) {
        CompletionStage<Either<TransportFailure, Bytes>> response =
                mNetwork.request(
                        voter, FrameType.FOUNDING.number(), Bytes.EMPTY, REPORT_TIMEOUT_NANOS);
        response.thenAccept(
                result ->
                        result.toOption()
                                .flatMap(content -> decode(content).toOption())
                                .peek(report -> reports.put(voter, report)));
    }

    /**
     * An instance that joins names itself as a learner where others name the initial members, which
     * earlier builds read as no members.
     */
    static Bytes encode(GroupBootstrap.StoreReport report) {
        List<Member> members =
                report.joining()
                        ? List.of(new Member(report.member(), MemberRole.LEARNER, ""))
                        : report.initialMembership().members();
        MessagePackWriter writer = new MessagePackWriter();
        ControlCodec.writeMemberId(writer, report.member());
        return writer.writeBoolean(report.empty())
                .writeList(members, ControlCodec::writeMember)
                .toBytes();
    }

    static Either<MalformedContent, GroupBootstrap.StoreReport> decode(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader -> {
                    MemberId member = ControlCodec.readMemberId(reader);
                    boolean empty = reader.readBoolean();
                    Membership members = new Membership(reader.readList(ControlCodec::readMember));
                    boolean joining =
                            members.find(member).filter(found -> !found.isVoter()).isPresent();
                    return new GroupBootstrap.StoreReport(
                            member, empty, joining, joining ? Membership.EMPTY : members);
                });
    }
}
