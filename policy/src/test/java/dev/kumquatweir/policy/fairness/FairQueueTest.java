package dev.kumquatweir.policy.fairness;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import dev.kumquatweir.core.identity.TeamName;
import java.util.Objects;
import org.junit.jupiter.api.Test;

class FairQueueTest {
    private record Work(TeamName team, int urgency, long tokens, boolean mayBeShed)
            implements QueuedWork {}

    private final FairQueue<Work> mQueue =
            new FairQueue<>(team -> team.value().equals("heavy") ? 3 : 1, false);

    /** Guards against a team with large requests or many of them starving the others. */
    @Test
    void servesTokensInProportionToWeight() {
        for (int count = 0; count < 1_000; count++) {
            mQueue.add(work("heavy", 5, 10_000));
            mQueue.add(work("light", 5, 1_000));
        }
        long heavy = 0;
        long light = 0;
        while (heavy + light < 2_000_000) {
            Work next = take();
            heavy += next.team().value().equals("heavy") ? next.tokens() : 0;
            light += next.team().value().equals("light") ? next.tokens() : 0;
        }
        assertThat((double) heavy / light, closeTo(3, 0.1));
    }

    /** Guards against less urgent work being served while more urgent work waits. */
    @Test
    void servesTheMostUrgentFirst() {
        mQueue.add(work("heavy", 3, 1));
        mQueue.add(work("light", 6, 1_000_000));
        assertThat(take().urgency(), is(6));
    }

    /** Guards against a new team waiting behind the whole queue of a large team. */
    @Test
    void smallTeamDoesNotWaitBehindLongQueueOfLargeTeam() {
        for (int count = 0; count < 100; count++) {
            mQueue.add(work("large", 5, 4_000));
        }
        take();
        mQueue.add(work("small", 5, 4_000));
        int before = 0;
        while (!take().team().value().equals("small")) {
            before++;
        }
        assertThat(before, lessThanOrEqualTo(2));
    }

    /**
     * Guards against shedding urgent work, or accepted work that must not be shed, under overload.
     */
    @Test
    void shedsTheLeastUrgentThatMayBeShed() {
        mQueue.add(new Work(new TeamName("a"), 1, 10, false));
        mQueue.add(work("a", 2, 10));
        mQueue.add(work("a", 4, 10));
        Work victim = Objects.requireNonNull(mQueue.shedBelow(4));
        assertThat(victim.urgency(), is(2));
        mQueue.remove(victim);
        assertThat(mQueue.shedBelow(4), nullValue());
    }

    /** Guards against a team being charged twice for work that an engine refused. */
    @Test
    void refundsRefusedWork() {
        Work refused = work("a", 5, 50_000);
        mQueue.add(refused);
        mQueue.add(work("b", 5, 50_000));
        mQueue.add(work("a", 5, 1_000));
        mQueue.take(refused);
        mQueue.addFirst(refused, true);
        assertThat(take().team().value(), is("a"));
    }

    private Work take() {
        Work next = Objects.requireNonNull(mQueue.next(work -> true));
        mQueue.take(next);
        return next;
    }

    private static Work work(String team, int urgency, long tokens) {
        return new Work(new TeamName(team), urgency, tokens, true);
    }
}
