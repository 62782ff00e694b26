package dev.kumquatweir.agreement.raft;

import static dev.kumquatweir.agreement.raft.RaftNodeHarness.LEARNER;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.OTHER_PEER;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.PEER;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.SELF;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.entry;
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
    // Guards against one round trip per entry when a long log diverges from the leader's.
    @Test
    void rejectionHintSkipsWholeConflictingTerm() {
        var stored = List.of(entry(2, 1), entry(3, 2), entry(4, 2), entry(5, 2));
        RaftNodeHarness node =
                RaftNodeHarness.withEntries(RaftNodeHarness.defaultSettings(), stored);
        var outputs = node.receive(PEER, 4, new AppendEntriesRequest(5, 3, List.of(), 0, 1));
        AppendEntriesResponse response =
                RaftNodeHarness.sentBodies(outputs, AppendEntriesResponse.class).getLast();
        assertThat(response.accepted(), is(false));
        assertThat(response.nextIndex(), equalTo(3L));
    }

    // Guards against a follower that keeps entries that conflict with the leader's log.
    @Test
    void conflictingEntriesAreTruncatedAndReplaced() {
        var stored = List.of(entry(2, 1), entry(3, 2), entry(4, 2));
        RaftNodeHarness node =
                RaftNodeHarness.withEntries(RaftNodeHarness.defaultSettings(), stored);
        var outputs =
                node.receive(PEER, 4, new AppendEntriesRequest(2, 1, List.of(entry(3, 4)), 0, 1));
        var write = RaftNodeHarness.outputsOf(outputs, RaftOutput.Write.class).getLast().write();
        assertThat(write.truncateFrom(), equalTo(3L));
        assertThat(write.entries(), equalTo(List.of(entry(3, 4))));
        assertThat(node.node().lastIndex(), equalTo(3L));
    }

    // Guards against a duplicate of an old append message that truncates newer entries.
    @Test
    void duplicatedAppendKeepsLaterEntries() {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(RaftNodeHarness.defaultSettings());
        var first = new AppendEntriesRequest(1, 1, List.of(entry(2, 1)), 0, 1);
        node.receive(PEER, 1, first);
        node.receive(PEER, 1, new AppendEntriesRequest(2, 1, List.of(entry(3, 1)), 0, 2));
        node.receive(PEER, 1, first);
        assertThat(node.node().lastIndex(), equalTo(3L));
    }

    // Guards against a restarted follower whose state of the past is used, such as a routing
    // document with a key that was withdrawn later.
    @Test
    void restartedFollowerIsCaughtUpAtTheCommitIndexOfItsLeader() {
        var stored = List.of(entry(2, 1), entry(3, 1), entry(4, 1));
        RaftNodeHarness node =
                RaftNodeHarness.withEntries(RaftNodeHarness.defaultSettings(), stored);
        assertThat(node.node().isCaughtUp(), is(false));
        // A new leader does not know yet what its predecessors committed.
        node.receive(PEER, 2, new AppendEntriesRequest(4, 1, List.of(), 2, 1));
        assertThat(node.node().isCaughtUp(), is(false));
        // The leader has committed its first entry, and more that this follower lacks.
        node.receive(PEER, 2, new AppendEntriesRequest(4, 1, List.of(entry(5, 2)), 7, 2));
        assertThat(node.node().commitIndex(), equalTo(5L));
        assertThat(node.node().isCaughtUp(), is(false));
        node.receive(
                PEER, 2, new AppendEntriesRequest(5, 2, List.of(entry(6, 2), entry(7, 2)), 7, 3));
        assertThat(node.node().isCaughtUp(), is(true));
        // A message that was overtaken tells an older commit index.
        node.receive(PEER, 2, new AppendEntriesRequest(7, 2, List.of(), 6, 2));
        assertThat(node.node().isCaughtUp(), is(true));
    }

    // Guards against two votes in one term: a vote sent before it is synced is lost in a restart.
    @Test
    void voteIsSyncedBeforeResponseIsSent() {
        RaftNodeHarness node = RaftNodeHarness.withManualSync(RaftNodeHarness.defaultSettings());
        node.advanceMillis(5_000);
        var outputs = node.receive(PEER, 2, new VoteRequest(1, 1, false));
        var write = RaftNodeHarness.outputsOf(outputs, RaftOutput.Write.class).getLast().write();
        assertThat(write.hardState().orElseThrow().votedFor(), equalTo(PEER.storeId()));
        assertThat(RaftNodeHarness.sentBodies(outputs, VoteResponse.class), empty());
        assertThat(
                RaftNodeHarness.sentBodies(node.sync(), VoteResponse.class),
                equalTo(List.of(new VoteResponse(true))));
        var second = node.receive(OTHER_PEER, 2, new VoteRequest(9, 1, false));
        assertThat(
                RaftNodeHarness.sentBodies(second, VoteResponse.class),
                equalTo(List.of(new VoteResponse(false))));
    }

    // Guards against a stale leader that continues because no peer informs it of the new term.
    @Test
    void leaderOfEarlierTermReceivesStaleTermResponse() {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(RaftNodeHarness.defaultSettings());
        node.receive(PEER, 5, new AppendEntriesRequest(1, 1, List.of(), 0, 1));
        var outputs = node.receive(OTHER_PEER, 4, new AppendEntriesRequest(1, 1, List.of(), 0, 1));
        var response =
                RaftNodeHarness.outputsOf(outputs, RaftOutput.Send.class).getLast().message();
        assertThat(response.term(), equalTo(5L));
        assertThat(response.to(), equalTo(OTHER_PEER));
        // A response with a send time could extend the lease of a receiver that leads term 5 by
        // then.
        assertThat(response.body(), equalTo(new MessageBody.StaleTerm()));
    }

    // Guards against messages of another cluster, or for a former store of this instance.
    @Test
    void messagesForOtherClusterOrFormerStoreAreDropped() {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(RaftNodeHarness.defaultSettings());
        var body = new AppendEntriesRequest(1, 1, List.of(entry(2, 9)), 2, 1);
        var formerIdentity = new MemberId("a", "lost-store");
        node.step(new RaftInput.Receive(new RaftMessage("else", PEER, SELF, 9, body)));
        node.step(
                new RaftInput.Receive(
                        new RaftMessage(Simulation.CLUSTER, PEER, formerIdentity, 9, body)));
        assertThat(node.node().term(), equalTo(1L));
        assertThat(node.node().lastIndex(), equalTo(1L));
    }

    // Guards against a stale read by a leader that does not know that it was replaced.
    @Test
    void readWithoutLeaseWaitsForLaterQuorumAcknowledgement() {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(RaftNodeHarness.defaultSettings());
        node.advanceMillis(560);
        var outputs = node.step(new RaftInput.ReadIndex(50));
        assertThat(RaftNodeHarness.outputsOf(outputs, RaftOutput.ReadReady.class), empty());
        long sentNanos =
                RaftNodeHarness.sentBodies(outputs, AppendEntriesRequest.class)
                        .getFirst()
                        .sentNanos();
        var early = new AppendEntriesResponse(true, 2, 3, 0, sentNanos - 1_000_000);
        assertThat(
                RaftNodeHarness.outputsOf(node.receive(PEER, 2, early), RaftOutput.ReadReady.class),
                empty());
        var fresh = new AppendEntriesResponse(true, 2, 3, 0, sentNanos);
        assertThat(
                RaftNodeHarness.outputsOf(node.receive(PEER, 2, fresh), RaftOutput.ReadReady.class),
                equalTo(List.of(new RaftOutput.ReadReady(50, 2))));
    }

    // Guards against a lease that outlasts the time for which voters deny votes.
    @Test
    void leaderLeaseStartsWhenAcknowledgedHeartbeatWasSent() {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(RaftNodeHarness.defaultSettings());
        long sentNanos = node.nowNanos();
        node.advanceMillis(300);
        node.receive(PEER, 2, new AppendEntriesResponse(true, 2, 3, 0, sentNanos));
        assertThat(
                node.node().leaderLeaseNanos(node.nowNanos()),
                lessThanOrEqualTo(240 * Simulation.NANOS_PER_MILLI));
        node.advanceMillis(240);
        assertThat(node.node().leaderLeaseNanos(node.nowNanos()), equalTo(0L));
    }

    // Guards against a snapshot that is acknowledged or applied with a chunk missing.
    @Test
    void snapshotIsInstalledOnlyFromContiguousChunks() {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(RaftNodeHarness.defaultSettings());
        var second = chunk(3, "def", true);
        var early = node.receive(PEER, 2, second);
        assertThat(
                RaftNodeHarness.sentBodies(early, InstallSnapshotResponse.class),
                equalTo(List.of(new InstallSnapshotResponse(40, 0, 1))));
        node.receive(PEER, 2, chunk(0, "abc", false));
        var outputs = node.receive(PEER, 2, second);
        var restored =
                RaftNodeHarness.outputsOf(outputs, RaftOutput.Restore.class).getLast().snapshot();
        assertThat(restored.data(), equalTo(Bytes.ofText("abcdef")));
        assertThat(node.node().commitIndex(), equalTo(40L));
        AppendEntriesResponse response = node.sentBodies(AppendEntriesResponse.class).getLast();
        assertThat(response.durableIndex(), equalTo(40L));
    }

    private static InstallSnapshotRequest chunk(long offset, String text, boolean last) {
        return new InstallSnapshotRequest(
                40, 2, Membership.EMPTY, offset, Bytes.ofText(text), last, 1);
    }

    // Guards against unbounded append messages and against one entry per round trip.
    @Test
    void appendsArePipelinedInBoundedBatches() {
        RaftSettings settings =
                RaftNodeHarness.settings(builder -> builder.batchLimits(2, 1_000, 3));
        RaftNodeHarness node = RaftNodeHarness.electedLeader(settings);
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

    // Guards against a group that cannot elect a leader because a learner's log is more up-to-date
    // than that of all voters: learners received uncommitted entries and the leader's disk was lost
    // (simulation seed 11133).
    @Test
    void learnersReceiveOnlyCommittedEntries() {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(RaftNodeHarness.defaultSettings());
        node.acknowledge(LEARNER, node.node().lastIndex());
        assertThat(entriesTo(LEARNER, node.propose("command")), empty());
        var outputs =
                node.receive(PEER, 2, new AppendEntriesResponse(true, 3, 4, 0, node.nowNanos()));
        assertThat(entriesTo(LEARNER, outputs), hasSize(1));
    }

    private static List<LogEntry> entriesTo(MemberId member, List<RaftOutput> outputs) {
        return RaftNodeHarness.outputsOf(outputs, RaftOutput.Send.class).stream()
                .filter(send -> send.message().to().equals(member))
                .map(send -> send.message().body())
                .filter(AppendEntriesRequest.class::isInstance)
                .flatMap(body -> ((AppendEntriesRequest) body).entries().stream())
                .toList();
    }

    // Guards against proposals that accumulate in memory while the disk is full.
    @Test
    void leaderWithFullDiskRefusesProposalsAndKeepsLeading() {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(RaftNodeHarness.defaultSettings());
        node.step(new RaftInput.StorageFull(true));
        assertThat(refusal(node.propose("refused")), equalTo(Reason.DISK_FULL));
        assertThat(node.node().role(), is(RaftRole.LEADER));
        node.step(new RaftInput.StorageFull(false));
        assertThat(
                RaftNodeHarness.outputsOf(node.propose("taken"), RaftOutput.RequestFailed.class),
                empty());
    }

    // Guards against a change that costs the group its quorum or allows disjoint quorums.
    @Test
    void unsafeMembershipChangesAreRefused() {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(RaftNodeHarness.defaultSettings());
        var volatileMember = new MemberId("e", MemberId.VOLATILE_STORE);
        assertThat(
                refusal(node.changeMembership(new MembershipChange.Remove("a"))),
                equalTo(Reason.LEADER_NOT_REMOVABLE));
        assertThat(
                refusal(node.changeMembership(new MembershipChange.AddLearner(LEARNER, ""))),
                equalTo(Reason.ALREADY_MEMBER));
        assertThat(
                refusal(node.changeMembership(new MembershipChange.Remove("b"))),
                equalTo(Reason.QUORUM_AT_RISK));
        node.changeMembership(new MembershipChange.AddLearner(volatileMember, ""));
        assertThat(
                refusal(node.changeMembership(new MembershipChange.Remove("d"))),
                equalTo(Reason.CHANGE_IN_PROGRESS));
        node.acknowledge(PEER, node.node().lastIndex());
        assertThat(
                refusal(node.changeMembership(new MembershipChange.Promote(volatileMember))),
                equalTo(Reason.VOLATILE_STORE));
    }

    private static Reason refusal(List<RaftOutput> outputs) {
        RaftFailure failure =
                RaftNodeHarness.outputsOf(outputs, RaftOutput.RequestFailed.class)
                        .getLast()
                        .failure();
        return ((RaftFailure.Refused) failure).reason();
    }

    // Guards against a client that takes the loss of leadership for a refusal and proposes again.
    @Test
    void pendingProposalIsUncertainAfterLossOfLeadership() {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(RaftNodeHarness.defaultSettings());
        node.propose("pending");
        var outputs = node.receive(PEER, 9, new AppendEntriesRequest(1, 1, List.of(), 0, 1));
        assertThat(
                RaftNodeHarness.outputsOf(outputs, RaftOutput.RequestFailed.class)
                        .getLast()
                        .failure(),
                equalTo(new RaftFailure.OutcomeUncertain()));
    }

    // Guards against a replica that elects itself with an empty store, as after a lost disk.
    @Test
    void replicaWithoutMembershipNeverCampaigns() {
        var node =
                new RaftNode(
                        RaftNodeHarness.defaultSettings(),
                        "a",
                        StoredState.empty("new-store"),
                        new SplittableRandom(1),
                        0);
        for (long now = 0;
                now < 20_000 * Simulation.NANOS_PER_MILLI;
                now += 20 * Simulation.NANOS_PER_MILLI) {
            node.step(new RaftInput.Tick(), now);
        }
        assertThat(node.role(), is(RaftRole.FOLLOWER));
        assertThat(node.term(), equalTo(0L));
    }

    // Guards against a crash between storing a received snapshot and truncating the old log.
    @Test
    void storedEntriesNotContiguousWithSnapshotAreTruncated() {
        RaftNodeHarness node =
                RaftNodeHarness.withEntries(
                        RaftNodeHarness.defaultSettings(), List.of(entry(3, 1)));
        assertThat(node.node().lastIndex(), equalTo(1L));
        var write = node.outputs(RaftOutput.Write.class).getFirst().write();
        assertThat(write.truncateFrom(), equalTo(1L));
    }

    // Guards against an unbounded backlog of unsynced entries on a follower with a slow disk.
    @Test
    void followerDropsEntriesWhileUnsyncedBacklogIsFull() {
        RaftSettings settings = RaftNodeHarness.settings(builder -> builder.proposalLimits(100, 5));
        RaftNodeHarness node = RaftNodeHarness.withManualSync(settings);
        node.receive(PEER, 1, new AppendEntriesRequest(1, 1, List.of(entry(2, 1)), 0, 1));
        node.receive(PEER, 1, new AppendEntriesRequest(2, 1, List.of(entry(3, 1)), 0, 2));
        assertThat(node.node().lastIndex(), equalTo(2L));
        node.sync();
        node.receive(PEER, 1, new AppendEntriesRequest(2, 1, List.of(entry(3, 1)), 0, 3));
        assertThat(node.node().lastIndex(), equalTo(3L));
    }
}
