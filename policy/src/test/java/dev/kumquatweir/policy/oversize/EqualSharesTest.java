package dev.kumquatweir.policy.oversize;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class EqualSharesTest {
    /** Guards against admitting a prompt that fits the total memory but not in equal shares. */
    @Test
    void smallEngineDoesNotCountWhenItCannotTakeItsShare() {
        List<Long> engines = List.of(400L, 100L, 400L);
        assertThat(EqualShares.canHold(engines, 800, 10), is(true));
        assertThat(EqualShares.canHold(engines, 801, 10), is(false));
        assertThat(EqualShares.capacityTokens(engines, 10), is(800L));
    }

    /** Guards against refusing prompts that need more memory than two engines have. */
    @Test
    void threeEnginesHoldMoreThanTwo() {
        assertThat(EqualShares.canHold(List.of(100L, 100L, 100L), 290, 20), is(true));
        assertThat(EqualShares.canHold(List.of(100L, 100L), 290, 20), is(false));
    }

    /** Guards against an answer that does not fit into the share reserved on the last engine. */
    @Test
    void answerHasToFitIntoOneShare() {
        assertThat(EqualShares.canHold(List.of(100L, 100L, 100L), 150, 80), is(false));
        assertThat(EqualShares.canHold(List.of(100L, 100L, 100L), 190, 80), is(true));
    }
}
