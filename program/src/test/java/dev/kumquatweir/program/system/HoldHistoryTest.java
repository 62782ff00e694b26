package dev.kumquatweir.program.system;

import static dev.kumquatweir.program.system.HoldHistory.Kind.ANSWERED;
import static dev.kumquatweir.program.system.HoldHistory.Kind.IN_PROGRESS;
import static dev.kumquatweir.program.system.HoldHistory.Kind.NOT_RUN;
import static dev.kumquatweir.program.system.HoldHistory.Kind.OUTCOME_UNKNOWN;
import static dev.kumquatweir.program.system.HoldHistory.Kind.UNCERTAIN;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.program.system.HoldHistory.Kind;
import dev.kumquatweir.program.system.HoldHistory.Operation;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a checker that accepts bad histories or rejects good ones. */
class HoldHistoryTest {
    static Stream<Arguments> histories() {
        return Stream.of(
                Arguments.of(
                        "repeat gets the recorded answer",
                        true,
                        List.of(at(0, 1, ANSWERED, "a"), at(2, 3, ANSWERED, "a"))),
                Arguments.of(
                        "second execution",
                        false,
                        List.of(at(0, 1, ANSWERED, "a"), at(2, 3, ANSWERED, "b"))),
                Arguments.of(
                        "second execution at the same time",
                        false,
                        List.of(at(0, 5, ANSWERED, "a"), at(1, 4, ANSWERED, "b"))),
                Arguments.of(
                        "in progress while it runs",
                        true,
                        List.of(at(0, 5, ANSWERED, "a"), at(1, 2, IN_PROGRESS, ""))),
                Arguments.of(
                        "in progress after the answer",
                        false,
                        List.of(at(0, 1, ANSWERED, "a"), at(2, 3, IN_PROGRESS, ""))),
                Arguments.of(
                        "not run after the answer",
                        false,
                        List.of(at(0, 1, ANSWERED, "a"), at(2, 3, NOT_RUN, ""))),
                Arguments.of(
                        "lost claimant",
                        true,
                        List.of(at(0, 1, UNCERTAIN, ""), at(2, 3, OUTCOME_UNKNOWN, ""))),
                Arguments.of(
                        "unknown outcome of nothing",
                        false,
                        List.of(at(0, 1, OUTCOME_UNKNOWN, ""), at(2, 3, UNCERTAIN, ""))),
                Arguments.of(
                        "execution after an unknown outcome",
                        false,
                        List.of(
                                at(0, 1, UNCERTAIN, ""),
                                at(2, 3, OUTCOME_UNKNOWN, ""),
                                at(4, 5, ANSWERED, "a"))),
                Arguments.of(
                        "abandoned claim is claimed again",
                        true,
                        List.of(
                                at(0, 1, UNCERTAIN, ""),
                                at(2, 3, IN_PROGRESS, ""),
                                at(4, 5, ANSWERED, "a"))));
    }

    private static Operation at(long begin, long end, Kind kind, String answer) {
        return new Operation(begin, end, kind, answer);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("histories")
    void historyIsJudged(String name, boolean good, List<Operation> history) {
        assertThat(name, HoldHistory.linearizable(history), is(good));
    }
}
