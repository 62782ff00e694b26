package dev.kumquatweir.agreement.raft;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SimulationPowerTest {
    private static final int SEEDS = 800;

    // Guards against random runs too tame to notice a rule that is missing.
    @ParameterizedTest
    @EnumSource(
            value = RaftRule.class,
            names = {
                "UP_TO_DATE_CANDIDATE",
                "NO_LEASE_IN_TRANSFER",
                "SYNC_BEFORE_ACKNOWLEDGE",
                "ONE_CHANGE_AT_A_TIME"
            })
    void randomRunsNoticeTheMissingRule(RaftRule rule) {
        RaftSettings settings = Simulation.smallSettings().without(rule).build();
        boolean noticed =
                LongStream.rangeClosed(1, SEEDS)
                        .parallel()
                        .anyMatch(seed -> breaks(seed, settings));
        assertThat(noticed, is(true));
    }

    private static boolean breaks(long seed, RaftSettings settings) {
        try {
            new RandomRun(seed, settings).run();
            return false;
        } catch (AssertionError broken) {
            return String.valueOf(broken.getMessage()).startsWith("broken rule");
        } catch (IllegalStateException broken) {
            // A replica that finds its own committed entries contradicted stops.
            return true;
        }
    }
}
