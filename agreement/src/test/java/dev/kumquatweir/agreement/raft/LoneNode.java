package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/** Replica a of the voters a, b, c and the learner d, whose peers the test plays itself. */
final class LoneNode {
    static final MemberId SELF = new MemberId("a", "store-a");
    static final MemberId PEER = new MemberId("b", "store-b");
    static final MemberId OTHER = new MemberId("c", "store-c");
    static final MemberId LEARNER = new MemberId("d", "store-d");

    private final RaftNode mNode;
    private final List<RaftOutput> mOutputs = new ArrayList<>();
    private final boolean mAutomaticSync;
    private long mNow = 5_000_000_000L;
    private long mSequence;
    private long mRequestId;

    private LoneNode(RaftSettings settings, StoredState state, boolean automaticSync) {
        mAutomaticSync = automaticSync;
        mNode = new RaftNode(settings, "a", state, new SplittableRandom(7), mNow);
        take(mNode.start());
    }

    /** A replica that has just been founded, whose writes are synced at once. */
    static LoneNode founded(RaftSettings settings) {
        return new LoneNode(settings, foundedState(List.of()), true);
    }

    /** A replica whose writes are synced when the test says so. */
    static LoneNode withManualSync(RaftSettings settings) {
        return new LoneNode(settings, foundedState(List.of()), false);
    }

    static LoneNode withEntries(RaftSettings settings, List<LogEntry> entries) {
        return new LoneNode(settings, foundedState(entries), true);
    }

    /** A leader of term 2 whose first entry is committed. */
    static LoneNode leading(RaftSettings settings) {
        LoneNode node = founded(settings);
        node.elect();
        node.acknowledge(PEER, node.mNode.lastIndex());
        return node;
    }

    static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, Bytes.ofText("entry " + index), EntryKind.COMMAND);
    }

    private static StoredState foundedState(List<LogEntry> entries) {
        var membership =
                new Membership(
                        List.of(
                                new Member(SELF, MemberRole.VOTER, ""),
                                new Member(PEER, MemberRole.VOTER, ""),
                                new Member(OTHER, MemberRole.VOTER, ""),
                                new Member(LEARNER, MemberRole.LEARNER, "")));
        return new StoredState(
                SELF.storeId(),
                new dev.kumquatweir.agreement.port.HardState(1, ""),
                Optional.of(SnapshotImage.founding(membership)),
                entries);
    }

    RaftNode node() {
        return mNode;
    }

    long now() {
        return mNow;
    }

    void advance(long millis) {
        mNow += millis * 1_000_000;
    }

    /** Lets time pass with ticks every 20 ms. */
    void idle(long millis) {
        for (long passed = 0; passed < millis; passed += 20) {
            advance(20);
            step(new RaftInput.Tick());
        }
    }

    /** Returns the outputs, including those of an automatic sync. */
    List<RaftOutput> step(RaftInput input) {
        int before = mOutputs.size();
        take(mNode.step(input, mNow));
        return List.copyOf(mOutputs.subList(before, mOutputs.size()));
    }

    List<RaftOutput> receive(MemberId from, long term, MessageBody body) {
        return step(
                new RaftInput.Receive(new RaftMessage(Simulation.CLUSTER, from, SELF, term, body)));
    }

    List<RaftOutput> sync() {
        return step(new RaftInput.StorageSynced(new StorageCompletion(mSequence, 0)));
    }

    /** Times out, wins the pre-vote and the vote with the help of b. */
    void elect() {
        awaitPreVote();
        receive(PEER, mNode.term(), new MessageBody.PreVoteResponse(true));
        receive(PEER, mNode.term(), new MessageBody.VoteResponse(true));
    }

    void awaitPreVote() {
        while (mNode.role() == RaftRole.FOLLOWER) {
            idle(20);
        }
    }

    void acknowledge(MemberId from, long durableIndex) {
        receive(
                from,
                mNode.term(),
                new MessageBody.AppendEntriesResponse(
                        true, durableIndex, durableIndex + 1, 0, mNow));
    }

    List<RaftOutput> propose(String command) {
        return step(new RaftInput.Propose(++mRequestId, Bytes.ofText(command)));
    }

    List<RaftOutput> change(MembershipChange change) {
        return step(new RaftInput.ChangeMembership(++mRequestId, change));
    }

    /** Returns all outputs of a kind so far. */
    <T extends RaftOutput> List<T> outputs(Class<T> kind) {
        return of(mOutputs, kind);
    }

    static <T extends RaftOutput> List<T> of(List<RaftOutput> outputs, Class<T> kind) {
        return outputs.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Returns the bodies of a kind among the messages of some outputs. */
    static <T extends MessageBody> List<T> sent(List<RaftOutput> outputs, Class<T> kind) {
        return of(outputs, RaftOutput.Send.class).stream()
                .map(send -> send.message().body())
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    <T extends MessageBody> List<T> sent(Class<T> kind) {
        return sent(mOutputs, kind);
    }

    private void take(List<RaftOutput> outputs) {
        mOutputs.addAll(outputs);
        List<RaftOutput.Write> writes = of(outputs, RaftOutput.Write.class);
        if (!writes.isEmpty()) {
            mSequence = writes.getLast().write().sequence();
            if (mAutomaticSync) {
                sync();
            }
        }
    }

    static RaftSettings standard() {
        return RaftSettings.builder(Simulation.CLUSTER).build();
    }

    static RaftSettings settings(UnaryOperator<RaftSettings.Builder> change) {
        return change.apply(RaftSettings.builder(Simulation.CLUSTER)).build();
    }
}
