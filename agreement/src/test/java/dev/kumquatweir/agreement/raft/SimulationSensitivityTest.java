package dev.kumquatweir.agreement.raft;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SimulationSensitivityTest {
    private static final int SEEDS = 2_400;

    // Guards against random runs whose faults are too mild to detect a disabled rule.
    @ParameterizedTest
    @EnumSource(
            value = RaftRule.class,
            names = {
                "UP_TO_DATE_CANDIDATE",
                "NO_LEASE_IN_TRANSFER",
                "SYNC_BEFORE_ACKNOWLEDGE",
                "ONE_CHANGE_AT_A_TIME"
            })
    void randomRunsDetectDisabledRule(RaftRule rule) {
        RaftSettings settings = Simulation.smallSettings().without(rule).build();
        boolean detected =
                LongStream.rangeClosed(1, SEEDS)
                        .parallel()
                        .anyMatch(seed -> isViolated(seed, settings));
        assertThat(detected, is(true));
    }

    private static boolean isViolated(long seed, RaftSettings settings) {
        try {
            new RandomRun(seed, settings).run();
            return false;
        } catch (AssertionError violation) {
            return String.valueOf(violation.getMessage()).startsWith("broken rule");
        } catch (IllegalStateException violation) {
            // A replica throws when an append conflicts with its committed entries.
            return true;
        }
    }
}
