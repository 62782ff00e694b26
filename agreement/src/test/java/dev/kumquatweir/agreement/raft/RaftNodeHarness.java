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

/** Drives replica a of voters a, b, c and learner d; the test sends the messages of the peers. */
final class RaftNodeHarness {
    static final MemberId SELF = new MemberId("a", "store-a");
    static final MemberId PEER = new MemberId("b", "store-b");
    static final MemberId OTHER_PEER = new MemberId("c", "store-c");
    static final MemberId LEARNER = new MemberId("d", "store-d");

    private final RaftNode mNode;
    private final List<RaftOutput> mOutputs = new ArrayList<>();
    private final boolean mAutomaticSync;
    private long mNowNanos = 5_000_000_000L;
    private long mLastWriteSequence;
    private long mRequestId;

    private RaftNodeHarness(RaftSettings settings, StoredState state, boolean automaticSync) {
        mAutomaticSync = automaticSync;
        mNode = new RaftNode(settings, "a", state, new SplittableRandom(7), mNowNanos);
        collect(mNode.start());
    }

    /** Creates a replica of a newly bootstrapped group, whose writes are synced immediately. */
    static RaftNodeHarness bootstrapped(RaftSettings settings) {
        return new RaftNodeHarness(settings, bootstrapState(List.of()), true);
    }

    /** Creates a replica whose writes are synced only by {@link #sync}. */
    static RaftNodeHarness withManualSync(RaftSettings settings) {
        return new RaftNodeHarness(settings, bootstrapState(List.of()), false);
    }

    static RaftNodeHarness withEntries(RaftSettings settings, List<LogEntry> entries) {
        return new RaftNodeHarness(settings, bootstrapState(entries), true);
    }

    /** Creates a leader of term 2 whose first entry is committed. */
    static RaftNodeHarness electedLeader(RaftSettings settings) {
        RaftNodeHarness node = bootstrapped(settings);
        node.winElection();
        node.acknowledge(PEER, node.mNode.lastIndex());
        return node;
    }

    static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, Bytes.ofText("entry " + index), EntryKind.COMMAND);
    }

    private static StoredState bootstrapState(List<LogEntry> entries) {
        var membership =
                new Membership(
                        List.of(
                                new Member(SELF, MemberRole.VOTER, ""),
                                new Member(PEER, MemberRole.VOTER, ""),
                                new Member(OTHER_PEER, MemberRole.VOTER, ""),
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

    long nowNanos() {
        return mNowNanos;
    }

    void advanceMillis(long millis) {
        mNowNanos += millis * 1_000_000;
    }

    /** Advances time with a tick every 20 ms. */
    void tickForMillis(long millis) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 20) {
            advanceMillis(20);
            step(new RaftInput.Tick());
        }
    }

    /** Returns the outputs, including those of an automatic sync. */
    List<RaftOutput> step(RaftInput input) {
        int before = mOutputs.size();
        collect(mNode.step(input, mNowNanos));
        return List.copyOf(mOutputs.subList(before, mOutputs.size()));
    }

    List<RaftOutput> receive(MemberId from, long term, MessageBody body) {
        return step(
                new RaftInput.Receive(new RaftMessage(Simulation.CLUSTER, from, SELF, term, body)));
    }

    List<RaftOutput> sync() {
        return step(new RaftInput.StorageSynced(new StorageCompletion(mLastWriteSequence, 0)));
    }

    /** Lets the election timeout expire, and wins the pre-vote and the vote with b. */
    void winElection() {
        awaitPreCandidate();
        receive(PEER, mNode.term(), new MessageBody.PreVoteResponse(true));
        receive(PEER, mNode.term(), new MessageBody.VoteResponse(true));
    }

    void awaitPreCandidate() {
        while (mNode.role() == RaftRole.FOLLOWER) {
            tickForMillis(20);
        }
    }

    void acknowledge(MemberId from, long durableIndex) {
        receive(
                from,
                mNode.term(),
                new MessageBody.AppendEntriesResponse(
                        true, durableIndex, durableIndex + 1, 0, mNowNanos));
    }

    List<RaftOutput> propose(String command) {
        return propose(Bytes.ofText(command));
    }

    List<RaftOutput> propose(Bytes command) {
        return step(new RaftInput.Propose(++mRequestId, command));
    }

    List<RaftOutput> changeMembership(MembershipChange change) {
        return step(new RaftInput.ChangeMembership(++mRequestId, change));
    }

    /** Returns all outputs of a type so far. */
    <T extends RaftOutput> List<T> outputs(Class<T> kind) {
        return outputsOf(mOutputs, kind);
    }

    static <T extends RaftOutput> List<T> outputsOf(List<RaftOutput> outputs, Class<T> kind) {
        return outputs.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Returns the message bodies of a type among the given outputs. */
    static <T extends MessageBody> List<T> sentBodies(List<RaftOutput> outputs, Class<T> kind) {
        return outputsOf(outputs, RaftOutput.Send.class).stream()
                .map(send -> send.message().body())
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    <T extends MessageBody> List<T> sentBodies(Class<T> kind) {
        return sentBodies(mOutputs, kind);
    }

    private void collect(List<RaftOutput> outputs) {
        mOutputs.addAll(outputs);
        List<RaftOutput.Write> writes = outputsOf(outputs, RaftOutput.Write.class);
        if (!writes.isEmpty()) {
            mLastWriteSequence = writes.getLast().write().sequence();
            if (mAutomaticSync) {
                sync();
            }
        }
    }

    static RaftSettings defaultSettings() {
        return RaftSettings.builder(Simulation.CLUSTER).build();
    }

    static RaftSettings settings(UnaryOperator<RaftSettings.Builder> customizer) {
        return customizer.apply(RaftSettings.builder(Simulation.CLUSTER)).build();
    }
}
