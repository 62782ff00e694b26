package dev.kumquatweir.agreement.raft;

import static dev.kumquatweir.agreement.raft.LoneNode.LEARNER;
import static dev.kumquatweir.agreement.raft.LoneNode.OTHER;
import static dev.kumquatweir.agreement.raft.LoneNode.PEER;
import static dev.kumquatweir.agreement.raft.LoneNode.SELF;
import static dev.kumquatweir.agreement.raft.LoneNode.entry;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.agreement.raft.MessageBody.AppendEntriesRequest;
import dev.kumquatweir.agreement.raft.MessageBody.AppendEntriesResponse;
import dev.kumquatweir.agreement.raft.MessageBody.InstallSnapshotRequest;
import dev.kumquatweir.agreement.raft.MessageBody.InstallSnapshotResponse;
import dev.kumquatweir.agreement.raft.MessageBody.VoteRequest;
import dev.kumquatweir.agreement.raft.MessageBody.VoteResponse;
import dev.kumquatweir.agreement.raft.RaftFailure.Reason;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class RaftNodeTest {
    // Guards against one round trip for each entry of a long divergent log.
    @Test
    void refusalSkipsTheWholeConflictingTerm() {
        var stored = List.of(entry(2, 1), entry(3, 2), entry(4, 2), entry(5, 2));
        LoneNode node = LoneNode.withEntries(LoneNode.standard(), stored);
        var outputs = node.receive(PEER, 4, new AppendEntriesRequest(5, 3, List.of(), 0, 1));
        AppendEntriesResponse answer =
                LoneNode.sent(outputs, AppendEntriesResponse.class).getLast();
        assertThat(answer.accepted(), is(false));
        assertThat(answer.nextIndex(), equalTo(3L));
    }

    // Guards against a follower that keeps entries its leader does not have.
    @Test
    void conflictingEntriesAreTruncatedAndReplaced() {
        var stored = List.of(entry(2, 1), entry(3, 2), entry(4, 2));
        LoneNode node = LoneNode.withEntries(LoneNode.standard(), stored);
        var outputs =
                node.receive(PEER, 4, new AppendEntriesRequest(2, 1, List.of(entry(3, 4)), 0, 1));
        var write = LoneNode.of(outputs, RaftOutput.Write.class).getLast().write();
        assertThat(write.truncateFrom(), equalTo(3L));
        assertThat(write.entries(), equalTo(List.of(entry(3, 4))));
        assertThat(node.node().lastIndex(), equalTo(3L));
    }

    // Guards against a duplicated old append that removes newer entries.
    @Test
    void repeatedAppendKeepsLaterEntries() {
        LoneNode node = LoneNode.founded(LoneNode.standard());
        var first = new AppendEntriesRequest(1, 1, List.of(entry(2, 1)), 0, 1);
        node.receive(PEER, 1, first);
        node.receive(PEER, 1, new AppendEntriesRequest(2, 1, List.of(entry(3, 1)), 0, 2));
        node.receive(PEER, 1, first);
        assertThat(node.node().lastIndex(), equalTo(3L));
    }

    // Guards against two votes in one term across a restart: the vote is part of the batch.
    @Test
    void voteIsStoredBeforeItIsAnswered() {
        LoneNode node = LoneNode.withManualSync(LoneNode.standard());
        node.advance(5_000);
        var outputs = node.receive(PEER, 2, new VoteRequest(1, 1, false));
        var write = LoneNode.of(outputs, RaftOutput.Write.class).getLast().write();
        assertThat(write.hardState().orElseThrow().votedFor(), equalTo(PEER.storeId()));
        assertThat(LoneNode.sent(outputs, VoteResponse.class), empty());
        assertThat(
                LoneNode.sent(node.sync(), VoteResponse.class),
                equalTo(List.of(new VoteResponse(true))));
        var second = node.receive(OTHER, 2, new VoteRequest(9, 1, false));
        assertThat(
                LoneNode.sent(second, VoteResponse.class),
                equalTo(List.of(new VoteResponse(false))));
    }

    // Guards against an old leader that goes on because nobody tells it about the new term.
    @Test
    void leaderOfAnEarlierTermIsToldThePresentOne() {
        LoneNode node = LoneNode.founded(LoneNode.standard());
        node.receive(PEER, 5, new AppendEntriesRequest(1, 1, List.of(), 0, 1));
        var outputs = node.receive(OTHER, 4, new AppendEntriesRequest(1, 1, List.of(), 0, 1));
        var answer = LoneNode.of(outputs, RaftOutput.Send.class).getLast().message();
        assertThat(answer.term(), equalTo(5L));
        assertThat(answer.to(), equalTo(OTHER));
        // An answer with a stamp could extend the lease of a receiver that leads term 5 by then.
        assertThat(answer.body(), equalTo(new MessageBody.StaleTerm()));
    }

    // Guards against messages of another group, or for an earlier store of this instance.
    @Test
    void strangersAndFormerIdentitiesAreIgnored() {
        LoneNode node = LoneNode.founded(LoneNode.standard());
        var body = new AppendEntriesRequest(1, 1, List.of(entry(2, 9)), 2, 1);
        var former = new MemberId("a", "lost-store");
        node.step(new RaftInput.Receive(new RaftMessage("else", PEER, SELF, 9, body)));
        node.step(
                new RaftInput.Receive(new RaftMessage(Simulation.CLUSTER, PEER, former, 9, body)));
        assertThat(node.node().term(), equalTo(1L));
        assertThat(node.node().lastIndex(), equalTo(1L));
    }

    // Guards against a read of old state by a leader that was replaced without noticing.
    @Test
    void readWithoutLeaseWaitsForQuorumAskedAfterwards() {
        LoneNode node = LoneNode.leading(LoneNode.standard());
        node.advance(560);
        var outputs = node.step(new RaftInput.ReadIndex(50));
        assertThat(LoneNode.of(outputs, RaftOutput.ReadReady.class), empty());
        long stamp = LoneNode.sent(outputs, AppendEntriesRequest.class).getFirst().sentNanos();
        var early = new AppendEntriesResponse(true, 2, 3, 0, stamp - 1_000_000);
        assertThat(LoneNode.of(node.receive(PEER, 2, early), RaftOutput.ReadReady.class), empty());
        var fresh = new AppendEntriesResponse(true, 2, 3, 0, stamp);
        assertThat(
                LoneNode.of(node.receive(PEER, 2, fresh), RaftOutput.ReadReady.class),
                equalTo(List.of(new RaftOutput.ReadReady(50, 2))));
    }

    // Guards against a lease that outlives the time for which voters are sticky.
    @Test
    void leaseIsCountedFromWhenTheHeartbeatWasSent() {
        LoneNode node = LoneNode.leading(LoneNode.standard());
        long stamp = node.now();
        node.advance(300);
        node.receive(PEER, 2, new AppendEntriesResponse(true, 2, 3, 0, stamp));
        assertThat(
                node.node().leaderLeaseNanos(node.now()),
                lessThanOrEqualTo(240 * Simulation.MILLI));
        node.advance(240);
        assertThat(node.node().leaderLeaseNanos(node.now()), equalTo(0L));
    }

    // Guards against a snapshot that is acknowledged or applied with a part missing.
    @Test
    void snapshotIsInstalledFromChunksInOrderOnly() {
        LoneNode node = LoneNode.founded(LoneNode.standard());
        var second = chunk(3, "def", true);
        var early = node.receive(PEER, 2, second);
        assertThat(
                LoneNode.sent(early, InstallSnapshotResponse.class),
                equalTo(List.of(new InstallSnapshotResponse(40, 0, 1))));
        node.receive(PEER, 2, chunk(0, "abc", false));
        var outputs = node.receive(PEER, 2, second);
        var restored = LoneNode.of(outputs, RaftOutput.Restore.class).getLast().snapshot();
        assertThat(restored.data(), equalTo(Bytes.ofText("abcdef")));
        assertThat(node.node().commitIndex(), equalTo(40L));
        AppendEntriesResponse answer = node.sent(AppendEntriesResponse.class).getLast();
        assertThat(answer.durableIndex(), equalTo(40L));
    }

    private static InstallSnapshotRequest chunk(long offset, String text, boolean last) {
        return new InstallSnapshotRequest(
                40, 2, Membership.EMPTY, offset, Bytes.ofText(text), last, 1);
    }

    // Guards against unbounded messages and against one entry for each round trip.
    @Test
    void appendsArePipelinedInBoundedBatches() {
        RaftSettings settings = LoneNode.settings(builder -> builder.batchLimits(2, 1_000, 3));
        LoneNode node = LoneNode.leading(settings);
        LongStream.range(0, 20).forEach(number -> node.propose("command " + number));
        List<AppendEntriesRequest> toPeer =
                node.outputs(RaftOutput.Send.class).stream()
                        .filter(send -> send.message().to().equals(PEER))
                        .map(send -> send.message().body())
                        .filter(
                                body ->
                                        body instanceof AppendEntriesRequest append
                                                && append.previousLogIndex() >= 2
                                                && !append.entries().isEmpty())
                        .map(AppendEntriesRequest.class::cast)
                        .toList();
        assertThat(toPeer, hasSize(3));
        assertThat(toPeer.stream().allMatch(append -> append.entries().size() <= 2), is(true));
    }

    // Guards against a group stuck by a learner whose log is newer than that of all voters (seed
    // 11133 with learners that got uncommitted entries and a leader whose disk was lost).
    @Test
    void learnersGetCommittedEntriesOnly() {
        LoneNode node = LoneNode.leading(LoneNode.standard());
        node.acknowledge(LEARNER, node.node().lastIndex());
        assertThat(entriesTo(LEARNER, node.propose("command")), empty());
        var outputs = node.receive(PEER, 2, new AppendEntriesResponse(true, 3, 4, 0, node.now()));
        assertThat(entriesTo(LEARNER, outputs), hasSize(1));
    }

    private static List<LogEntry> entriesTo(MemberId member, List<RaftOutput> outputs) {
        return LoneNode.of(outputs, RaftOutput.Send.class).stream()
                .filter(send -> send.message().to().equals(member))
                .map(send -> send.message().body())
                .filter(AppendEntriesRequest.class::isInstance)
                .flatMap(body -> ((AppendEntriesRequest) body).entries().stream())
                .toList();
    }

    // Guards against proposals that pile up in memory while the disk takes nothing.
    @Test
    void fullDiskRefusesProposalsAndKeepsLeading() {
        LoneNode node = LoneNode.leading(LoneNode.standard());
        node.step(new RaftInput.StorageFull(true));
        assertThat(refusal(node.propose("refused")), equalTo(Reason.DISK_FULL));
        assertThat(node.node().role(), is(RaftRole.LEADER));
        node.step(new RaftInput.StorageFull(false));
        assertThat(LoneNode.of(node.propose("taken"), RaftOutput.RequestFailed.class), empty());
    }

    // Guards against a change that would stop the group or split its quorum.
    @Test
    void membershipChangesThatCanNotBeSafeAreRefused() {
        LoneNode node = LoneNode.leading(LoneNode.standard());
        var volatileMember = new MemberId("e", MemberId.VOLATILE_STORE);
        assertThat(
                refusal(node.change(new MembershipChange.Remove("a"))),
                equalTo(Reason.LEADER_NOT_REMOVABLE));
        assertThat(
                refusal(node.change(new MembershipChange.AddLearner(LEARNER, ""))),
                equalTo(Reason.ALREADY_MEMBER));
        assertThat(
                refusal(node.change(new MembershipChange.Remove("b"))),
                equalTo(Reason.QUORUM_AT_RISK));
        node.change(new MembershipChange.AddLearner(volatileMember, ""));
        assertThat(
                refusal(node.change(new MembershipChange.Remove("d"))),
                equalTo(Reason.CHANGE_IN_PROGRESS));
        node.acknowledge(PEER, node.node().lastIndex());
        assertThat(
                refusal(node.change(new MembershipChange.Promote(volatileMember))),
                equalTo(Reason.VOLATILE_STORE));
    }

    private static Reason refusal(List<RaftOutput> outputs) {
        RaftFailure failure =
                LoneNode.of(outputs, RaftOutput.RequestFailed.class).getLast().failure();
        return ((RaftFailure.Refused) failure).reason();
    }

    // Guards against a client that takes a lost leadership for a refusal and proposes again.
    @Test
    void proposalsOfLostLeadershipEndAsUncertain() {
        LoneNode node = LoneNode.leading(LoneNode.standard());
        node.propose("pending");
        var outputs = node.receive(PEER, 9, new AppendEntriesRequest(1, 1, List.of(), 0, 1));
        assertThat(
                LoneNode.of(outputs, RaftOutput.RequestFailed.class).getLast().failure(),
                equalTo(new RaftFailure.OutcomeUncertain()));
    }

    // Guards against an instance without members, as after a lost disk, that elects itself.
    @Test
    void emptyReplicaNeverCampaigns() {
        var node =
                new RaftNode(
                        LoneNode.standard(),
                        "a",
                        StoredState.empty("new-store"),
                        new SplittableRandom(1),
                        0);
        for (long now = 0; now < 20_000 * Simulation.MILLI; now += 20 * Simulation.MILLI) {
            node.step(new RaftInput.Tick(), now);
        }
        assertThat(node.role(), is(RaftRole.FOLLOWER));
        assertThat(node.term(), equalTo(0L));
    }

    // Guards against a stored log that was interrupted while a received snapshot replaced it.
    @Test
    void entriesThatDoNotContinueTheSnapshotAreRemoved() {
        LoneNode node = LoneNode.withEntries(LoneNode.standard(), List.of(entry(3, 1)));
        assertThat(node.node().lastIndex(), equalTo(1L));
        var write = node.outputs(RaftOutput.Write.class).getFirst().write();
        assertThat(write.truncateFrom(), equalTo(1L));
    }

    // Guards against a backlog without bound on a follower whose disk is slow.
    @Test
    void slowDiskStopsTakingEntries() {
        RaftSettings settings = LoneNode.settings(builder -> builder.proposalLimits(100, 5));
        LoneNode node = LoneNode.withManualSync(settings);
        node.receive(PEER, 1, new AppendEntriesRequest(1, 1, List.of(entry(2, 1)), 0, 1));
        node.receive(PEER, 1, new AppendEntriesRequest(2, 1, List.of(entry(3, 1)), 0, 2));
        assertThat(node.node().lastIndex(), equalTo(2L));
        node.sync();
        node.receive(PEER, 1, new AppendEntriesRequest(2, 1, List.of(entry(3, 1)), 0, 3));
        assertThat(node.node().lastIndex(), equalTo(3L));
    }
}
