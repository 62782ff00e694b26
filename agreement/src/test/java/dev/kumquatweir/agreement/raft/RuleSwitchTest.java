package dev.kumquatweir.agreement.raft;

import static dev.kumquatweir.agreement.raft.RaftNodeHarness.LEARNER;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.OTHER_PEER;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.PEER;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.entry;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.raft.MessageBody.AppendEntriesRequest;
import dev.kumquatweir.agreement.raft.MessageBody.AppendEntriesResponse;
import dev.kumquatweir.agreement.raft.MessageBody.PreVoteResponse;
import dev.kumquatweir.agreement.raft.MessageBody.VoteRequest;
import dev.kumquatweir.agreement.raft.MessageBody.VoteResponse;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs one scenario for each rule: safe with the rule enabled, unsafe with it disabled. */
class RuleSwitchTest {
    private static final long ELECTION_TIMEOUT_PASSED_MILLIS = 5_000;

    @ParameterizedTest
    @EnumSource(RaftRule.class)
    void scenarioIsSafeWithRuleEnabled(RaftRule rule) {
        assertThat(isUnsafe(rule, RaftNodeHarness.defaultSettings()), is(false));
    }

    @ParameterizedTest
    @EnumSource(RaftRule.class)
    void scenarioIsUnsafeWithRuleDisabled(RaftRule rule) {
        RaftSettings without = RaftNodeHarness.settings(builder -> builder.without(rule));
        assertThat(isUnsafe(rule, without), is(true));
    }

    private static boolean isUnsafe(RaftRule rule, RaftSettings settings) {
        return switch (rule) {
            case SYNC_BEFORE_ACKNOWLEDGE -> acknowledgesUnsyncedEntry(settings);
            case SYNC_BEFORE_VOTE -> sendsUnsyncedVote(settings);
            case STICKY_VOTERS -> grantsVoteDespiteLeaderContact(settings);
            case QUIET_AFTER_RESTART -> grantsVoteRightAfterRestart(settings);
            case PRE_VOTE -> incrementsTermWithoutPreVote(settings);
            case COMMIT_IN_OWN_TERM -> commitsEntryOfEarlierTerm(settings);
            case UP_TO_DATE_CANDIDATE -> grantsVoteToShorterLog(settings);
            case STORE_ID_COUNTS -> countsVoteOfUnknownStore(settings);
            case CHECK_QUORUM -> leadsWithoutQuorumContact(settings);
            case ONE_CHANGE_AT_A_TIME -> startsSecondChangeBeforeCommit(settings);
            case PROMOTE_CAUGHT_UP -> promotesLaggingLearner(settings);
            case NO_LEASE_IN_TRANSFER -> keepsLeaseAfterTimeoutNow(settings);
        };
    }

    private static boolean acknowledgesUnsyncedEntry(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.withManualSync(settings);
        var append = new AppendEntriesRequest(1, 1, List.of(entry(2, 1)), 0, 1);
        var outputs = node.receive(PEER, 1, append);
        return RaftNodeHarness.sentBodies(outputs, AppendEntriesResponse.class).stream()
                .anyMatch(answer -> answer.durableIndex() >= 2);
    }

    private static boolean sendsUnsyncedVote(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.withManualSync(settings);
        node.advanceMillis(ELECTION_TIMEOUT_PASSED_MILLIS);
        var outputs = node.receive(PEER, 2, new VoteRequest(1, 1, false));
        return isVoteGranted(outputs);
    }

    private static boolean grantsVoteDespiteLeaderContact(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(settings);
        node.advanceMillis(ELECTION_TIMEOUT_PASSED_MILLIS);
        node.receive(PEER, 1, new AppendEntriesRequest(1, 1, List.of(), 0, 1));
        node.advanceMillis(500);
        return isVoteGranted(node.receive(OTHER_PEER, 2, new VoteRequest(1, 1, false)));
    }

    private static boolean grantsVoteRightAfterRestart(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(settings);
        node.advanceMillis(500);
        return isVoteGranted(node.receive(OTHER_PEER, 2, new VoteRequest(1, 1, false)));
    }

    private static boolean incrementsTermWithoutPreVote(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(settings);
        node.tickForMillis(ELECTION_TIMEOUT_PASSED_MILLIS);
        return node.node().term() > 1;
    }

    private static boolean commitsEntryOfEarlierTerm(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.withEntries(settings, List.of(entry(2, 1)));
        node.winElection();
        node.acknowledge(PEER, 2);
        return node.node().commitIndex() >= 2;
    }

    private static boolean grantsVoteToShorterLog(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.withEntries(settings, List.of(entry(2, 1)));
        node.advanceMillis(ELECTION_TIMEOUT_PASSED_MILLIS);
        return isVoteGranted(node.receive(PEER, 2, new VoteRequest(1, 1, false)));
    }

    private static boolean countsVoteOfUnknownStore(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(settings);
        node.awaitPreCandidate();
        var unknownStore = new MemberId(PEER.name(), "another-store");
        node.receive(unknownStore, 1, new PreVoteResponse(true));
        node.receive(unknownStore, node.node().term(), new VoteResponse(true));
        return node.node().role() == RaftRole.LEADER;
    }

    private static boolean leadsWithoutQuorumContact(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(settings);
        node.tickForMillis(ELECTION_TIMEOUT_PASSED_MILLIS);
        return node.node().role() == RaftRole.LEADER;
    }

    private static boolean startsSecondChangeBeforeCommit(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(settings);
        node.acknowledge(OTHER_PEER, node.node().lastIndex());
        node.changeMembership(new MembershipChange.Remove("b"));
        node.changeMembership(new MembershipChange.Remove("c"));
        return node.node().membership().voters().size() == 1;
    }

    private static boolean promotesLaggingLearner(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(settings);
        node.acknowledge(OTHER_PEER, node.node().lastIndex());
        node.acknowledge(LEARNER, 0);
        node.changeMembership(new MembershipChange.Promote(LEARNER));
        return node.node().membership().isVoter(LEARNER);
    }

    private static boolean keepsLeaseAfterTimeoutNow(RaftSettings settings) {
        RaftNodeHarness node = RaftNodeHarness.electedLeader(settings);
        node.step(new RaftInput.TransferLeadership(99, "b"));
        return node.node().leaderLeaseNanos(node.nowNanos()) > 0;
    }

    private static boolean isVoteGranted(List<RaftOutput> outputs) {
        return RaftNodeHarness.sentBodies(outputs, VoteResponse.class).stream()
                .anyMatch(VoteResponse::granted);
    }
}
