package dev.kumquatweir.policy.oversize;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class EqualSharesTest {
    /** Guards against a prompt admitted for the sum of the memories that no placement can take. */
    @Test
    void smallEngineDoesNotCountWhenItCannotTakeItsShare() {
        List<Long> engines = List.of(400L, 100L, 400L);
        assertThat(EqualShares.canHold(engines, 800, 10), is(true));
        assertThat(EqualShares.canHold(engines, 801, 10), is(false));
        assertThat(EqualShares.capacityTokens(engines, 10), is(800L));
    }

    /** Guards against prompts of more than twice one engine's memory being refused. */
    @Test
    void threeEnginesBearMoreThanTwo() {
        assertThat(EqualShares.canHold(List.of(100L, 100L, 100L), 290, 20), is(true));
        assertThat(EqualShares.canHold(List.of(100L, 100L), 290, 20), is(false));
    }

    /** Guards against a last engine that has to hold more than the share reserved there. */
    @Test
    void answerHasToFitOneShare() {
        assertThat(EqualShares.canHold(List.of(100L, 100L, 100L), 150, 80), is(false));
        assertThat(EqualShares.canHold(List.of(100L, 100L, 100L), 190, 80), is(true));
    }
}
