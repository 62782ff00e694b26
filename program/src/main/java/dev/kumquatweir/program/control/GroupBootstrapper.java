package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.MemberId;
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
import dev.kumquatweir.program.instance.FrameType;
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
 * Brings an instance with a data folder to the point where its replica can start: opens the store,
 * and if it is empty asks the other voters until {@link GroupBootstrap} decides. Used by one
 * thread.
 */
final class GroupBootstrapper {
    private static final EventLog LOG = EventLog.of(GroupBootstrapper.class);
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final InstanceId mSelf;
    private final List<PeerSettings> mVoters;
    private final PeerNetwork mNetwork;
    private final Supplier<LogStore> mStores;
    private final boolean mMayBootstrap;

    /**
     * Answers questions of other instances from now on.
     *
     * @param voters voters of the settings, this instance included, in the order of their names
     * @param stores opens the store of the data folder
     * @param mayBootstrap whether a group may begin here; if not, an empty store joins one
     */
    GroupBootstrapper(
            InstanceId self,
            List<PeerSettings> voters,
            PeerNetwork network,
            Supplier<LogStore> stores,
            boolean mayBootstrap) {
        mMayBootstrap = mayBootstrap;
        mSelf = self;
        mVoters = List.copyOf(voters);
        mNetwork = network;
        mStores = stores;
    }

    /**
     * A store that is ready for a replica.
     *
     * @param store the loaded store
     * @param state what it holds
     */
    record OpenedStore(LogStore store, StoredState state) {}

    /**
     * Opens the store and waits until the group is known.
     *
     * @param stopped whether to give up
     * @return the store, empty if it was told to give up
     * @throws FailureException if the store can't be used
     */
    Optional<OpenedStore> awaitGroup(BooleanSupplier stopped) {
        LogStore store = mStores.get();
        StoredState state = orThrow(store.load());
        MemberId member = new MemberId(mSelf.value(), state.storeId());
        GroupBootstrap.StoreReport report = GroupBootstrap.StoreReport.of(member, state);
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
        orThrow(store.write(List.of(initialWrite)));
        // Sequence numbers count from 1 for each opening of a store, and the replica uses them
        // next.
        store.close();
        LogStore reopened = mStores.get();
        StoredState state = orThrow(reopened.load());
        serveReport(GroupBootstrap.StoreReport.of(member, state));
        return new OpenedStore(reopened, state);
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

    private static Bytes encode(GroupBootstrap.StoreReport report) {
        MessagePackWriter writer = new MessagePackWriter();
        ControlCodec.writeMemberId(writer, report.member());
        return writer.writeBoolean(report.empty())
                .writeList(report.initialMembership().members(), ControlCodec::writeMember)
                .toBytes();
    }

    static Either<MalformedContent, GroupBootstrap.StoreReport> decode(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader ->
                        new GroupBootstrap.StoreReport(
                                ControlCodec.readMemberId(reader),
                                reader.readBoolean(),
                                new Membership(reader.readList(ControlCodec::readMember))));
    }

    private static <T> T orThrow(Either<? extends Failure, T> result) {
        return result.getOrElseThrow(FailureException::new);
    }
}
