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
 * and if it is empty asks the other voters until {@link Founding} decides. Used by one thread.
 */
final class FoundingDuty {
    private static final EventLog LOG = EventLog.of(FoundingDuty.class);
    private static final long ANSWER_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final InstanceId mSelf;
    private final List<PeerSettings> mVoters;
    private final PeerNetwork mNetwork;
    private final Supplier<LogStore> mStores;
    private final boolean mMayFound;

    /**
     * Answers questions of other instances from now on.
     *
     * @param voters voters of the settings, this instance included, in the order of their names
     * @param stores opens the store of the data folder
     * @param mayFound whether a group may begin here; if not, an empty store joins one
     */
    FoundingDuty(
            InstanceId self,
            List<PeerSettings> voters,
            PeerNetwork network,
            Supplier<LogStore> stores,
            boolean mayFound) {
        mMayFound = mayFound;
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
    record Ready(LogStore store, StoredState state) {}

    /**
     * Opens the store and waits until the group is known.
     *
     * @param stopped whether to give up
     * @return the store, empty if it was told to give up
     * @throws FailureException if the store can't be used
     */
    Optional<Ready> await(BooleanSupplier stopped) {
        LogStore store = mStores.get();
        StoredState state = orThrow(store.load());
        MemberId member = new MemberId(mSelf.value(), state.storeId());
        Founding.Answer answer = Founding.Answer.of(member, state);
        answerOthers(answer);
        if (!answer.empty()) {
            return Optional.of(new Ready(store, state));
        }
        Founding founding = new Founding(member, mVoters);
        Map<InstanceId, Founding.Answer> answers = new ConcurrentHashMap<>();
        while (mMayFound && !stopped.getAsBoolean()) {
            switch (founding.decide(answers)) {
                case Founding.Decision.Found found -> {
                    LOG.info("group_founded", "members", found.snapshot().membership().members());
                    return Optional.of(write(store, member, found.snapshot()));
                }
                case Founding.Decision.Join _ -> {
                    LOG.warn("waiting_to_be_added", "member", member);
                    return Optional.of(new Ready(store, state));
                }
                case Founding.Decision.Wait _ -> askOthers(answers);
            }
        }
        if (!mMayFound) {
            LOG.info("joining_group", "member", member);
            return Optional.of(new Ready(store, state));
        }
        store.close();
        return Optional.empty();
    }

    private Ready write(LogStore store, MemberId member, SnapshotImage snapshot) {
        StorageWrite first =
                new StorageWrite(
                        1,
                        Optional.of(new HardState(1, "")),
                        Optional.of(snapshot),
                        StorageWrite.NO_INDEX,
                        List.of(),
                        StorageWrite.NO_INDEX);
        orThrow(store.write(List.of(first)));
        // Sequence numbers count from 1 for each opening of a store, and the replica uses them
        // next.
        store.close();
        LogStore reopened = mStores.get();
        StoredState state = orThrow(reopened.load());
        answerOthers(Founding.Answer.of(member, state));
        return new Ready(reopened, state);
    }

    private void answerOthers(Founding.Answer answer) {
        Bytes content = encode(answer);
        mNetwork.handle(
                FrameType.FOUNDING.number(),
                (peer, payload, responder) -> responder.respond(content));
    }

    private void askOthers(Map<InstanceId, Founding.Answer> answers) {
        for (PeerSettings voter : mVoters) {
            if (!voter.id().equals(mSelf)) {
                askOther(voter.id(), answers);
            }
        }
        LockSupport.parkNanos(PAUSE_NANOS);
    }

    private void askOther(InstanceId voter, Map<InstanceId, Founding.Answer> answers) {
        CompletionStage<Either<TransportFailure, Bytes>> answer =
                mNetwork.request(
                        voter, FrameType.FOUNDING.number(), Bytes.EMPTY, ANSWER_LIMIT_NANOS);
        answer.thenAccept(
                result ->
                        result.toOption()
                                .flatMap(content -> decode(content).toOption())
                                .peek(told -> answers.put(voter, told)));
    }

    private static Bytes encode(Founding.Answer answer) {
        MessagePackWriter writer = new MessagePackWriter();
        ControlCodec.writeMemberId(writer, answer.member());
        return writer.writeBoolean(answer.empty())
                .writeList(answer.founders().members(), ControlCodec::writeMember)
                .toBytes();
    }

    static Either<MalformedContent, Founding.Answer> decode(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader ->
                        new Founding.Answer(
                                ControlCodec.readMemberId(reader),
                                reader.readBoolean(),
                                new Membership(reader.readList(ControlCodec::readMember))));
    }

    private static <T> T orThrow(Either<? extends Failure, T> result) {
        return result.getOrElseThrow(FailureException::new);
    }
}
