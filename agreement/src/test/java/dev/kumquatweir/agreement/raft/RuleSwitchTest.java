package dev.kumquatweir.agreement.raft;

import static dev.kumquatweir.agreement.raft.LoneNode.LEARNER;
import static dev.kumquatweir.agreement.raft.LoneNode.OTHER;
import static dev.kumquatweir.agreement.raft.LoneNode.PEER;
import static dev.kumquatweir.agreement.raft.LoneNode.entry;
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

/** Each rule holds in a scenario that breaks as soon as the rule is switched off. */
class RuleSwitchTest {
    private static final long LONG_AGO_MILLIS = 5_000;

    @ParameterizedTest
    @EnumSource(RaftRule.class)
    void scenarioIsSafeWithTheRule(RaftRule rule) {
        assertThat(breaks(rule, LoneNode.standard()), is(false));
    }

    @ParameterizedTest
    @EnumSource(RaftRule.class)
    void scenarioBreaksWithoutTheRule(RaftRule rule) {
        RaftSettings without = LoneNode.settings(builder -> builder.without(rule));
        assertThat(breaks(rule, without), is(true));
    }

    private static boolean breaks(RaftRule rule, RaftSettings settings) {
        return switch (rule) {
            case SYNC_BEFORE_ACKNOWLEDGE -> acknowledgesUnsynced(settings);
            case SYNC_BEFORE_VOTE -> votesUnsynced(settings);
            case STICKY_VOTERS -> votesBesideLeader(settings);
            case QUIET_AFTER_RESTART -> votesRightAfterRestart(settings);
            case PRE_VOTE -> raisesTermAlone(settings);
            case COMMIT_IN_OWN_TERM -> commitsEarlierTerm(settings);
            case UP_TO_DATE_CANDIDATE -> votesForShorterLog(settings);
            case STORE_ID_COUNTS -> winsByWrongStore(settings);
            case CHECK_QUORUM -> leadsAlone(settings);
            case ONE_CHANGE_AT_A_TIME -> changesTwice(settings);
            case PROMOTE_CAUGHT_UP -> promotesEmptyLearner(settings);
            case NO_LEASE_IN_TRANSFER -> leasesAfterHandingOver(settings);
        };
    }

    private static boolean acknowledgesUnsynced(RaftSettings settings) {
        LoneNode node = LoneNode.withManualSync(settings);
        var append = new AppendEntriesRequest(1, 1, List.of(entry(2, 1)), 0, 1);
        var outputs = node.receive(PEER, 1, append);
        return LoneNode.sent(outputs, AppendEntriesResponse.class).stream()
                .anyMatch(answer -> answer.durableIndex() >= 2);
    }

    private static boolean votesUnsynced(RaftSettings settings) {
        LoneNode node = LoneNode.withManualSync(settings);
        node.advance(LONG_AGO_MILLIS);
        var outputs = node.receive(PEER, 2, new VoteRequest(1, 1, false));
        return granted(outputs);
    }

    private static boolean votesBesideLeader(RaftSettings settings) {
        LoneNode node = LoneNode.founded(settings);
        node.advance(LONG_AGO_MILLIS);
        node.receive(PEER, 1, new AppendEntriesRequest(1, 1, List.of(), 0, 1));
        node.advance(500);
        return granted(node.receive(OTHER, 2, new VoteRequest(1, 1, false)));
    }

    private static boolean votesRightAfterRestart(RaftSettings settings) {
        LoneNode node = LoneNode.founded(settings);
        node.advance(500);
        return granted(node.receive(OTHER, 2, new VoteRequest(1, 1, false)));
    }

    private static boolean raisesTermAlone(RaftSettings settings) {
        LoneNode node = LoneNode.founded(settings);
        node.idle(LONG_AGO_MILLIS);
        return node.node().term() > 1;
    }

    private static boolean commitsEarlierTerm(RaftSettings settings) {
        LoneNode node = LoneNode.withEntries(settings, List.of(entry(2, 1)));
        node.elect();
        node.acknowledge(PEER, 2);
        return node.node().commitIndex() >= 2;
    }

    private static boolean votesForShorterLog(RaftSettings settings) {
        LoneNode node = LoneNode.withEntries(settings, List.of(entry(2, 1)));
        node.advance(LONG_AGO_MILLIS);
        return granted(node.receive(PEER, 2, new VoteRequest(1, 1, false)));
    }

    private static boolean winsByWrongStore(RaftSettings settings) {
        LoneNode node = LoneNode.founded(settings);
        node.awaitPreVote();
        var forgetful = new MemberId(PEER.name(), "another-store");
        node.receive(forgetful, 1, new PreVoteResponse(true));
        node.receive(forgetful, node.node().term(), new VoteResponse(true));
        return node.node().role() == RaftRole.LEADER;
    }

    private static boolean leadsAlone(RaftSettings settings) {
        LoneNode node = LoneNode.leading(settings);
        node.idle(LONG_AGO_MILLIS);
        return node.node().role() == RaftRole.LEADER;
    }

    private static boolean changesTwice(RaftSettings settings) {
        LoneNode node = LoneNode.leading(settings);
        node.acknowledge(OTHER, node.node().lastIndex());
        node.change(new MembershipChange.Remove("b"));
        node.change(new MembershipChange.Remove("c"));
        return node.node().membership().voters().size() == 1;
    }

    private static boolean promotesEmptyLearner(RaftSettings settings) {
        LoneNode node = LoneNode.leading(settings);
        node.acknowledge(OTHER, node.node().lastIndex());
        node.acknowledge(LEARNER, 0);
        node.change(new MembershipChange.Promote(LEARNER));
        return node.node().membership().isVoter(LEARNER);
    }

    private static boolean leasesAfterHandingOver(RaftSettings settings) {
        LoneNode node = LoneNode.leading(settings);
        node.step(new RaftInput.TransferLeadership(99, "b"));
        return node.node().leaderLeaseNanos(node.now()) > 0;
    }

    private static boolean granted(List<RaftOutput> outputs) {
        return LoneNode.sent(outputs, VoteResponse.class).stream().anyMatch(VoteResponse::granted);
    }
}
