package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import dev.kumquatweir.platform.AnswerFault;
import dev.kumquatweir.platform.FaultyUpstream;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Real processes in front of upstreams whose answers are wrong, as callers and upstreams see it.
 */
final class FaultyAnswersIt {
    private static final int ENTRIES = 2;
    private static final int UPSTREAMS = 3;
    private static final int REQUESTS_PER_FAULT = 4;
    private static final int LONGEST_IDLE_MILLIS = 150;
    private static final Duration DURATION = Duration.ofSeconds(15);

    /** Guards against a refusal of an earlier request that is taken for the next one's. */
    @Test
    void repeatedRefusalIsNotTheNextAnswer(@TempDir Path folder) throws IOException {
        play(
                folder,
                drawn(
                        List.of(
                                AnswerFault.REFUSAL_WITHOUT_ID,
                                AnswerFault.LATE_REFUSAL_WITHOUT_ID,
                                AnswerFault.REFUSAL_WITH_ID,
                                AnswerFault.LATE_REFUSAL_WITH_ID)));
    }

    /** Guards against a second copy of an answer that is taken for the next one's. */
    @Test
    void secondAnswerIsNotTheNextAnswer(@TempDir Path folder) throws IOException {
        play(folder, drawn(List.of(AnswerFault.SECOND_ANSWER, AnswerFault.LATE_SECOND_ANSWER)));
    }

    /** Guards against a request that ran and is taken for misdirected, and runs again. */
    @Test
    void misdirectedWithoutPromiseMayHaveRun(@TempDir Path folder) throws IOException {
        play(folder, drawn(List.of(AnswerFault.MISDIRECTED_AFTER_RUN)));
    }

    /** Guards against the text of an error in the middle of a stream that has begun. */
    @Test
    void errorOfTheNextUpstreamIsNoPartOfTheStream(@TempDir Path folder) throws IOException {
        play(
                folder,
                drawn(
                        List.of(
                                AnswerFault.BREAK_THEN_ERROR,
                                AnswerFault.ERROR,
                                AnswerFault.BODY_CUT,
                                AnswerFault.BODY_CUT_BETWEEN_EVENTS)));
    }

    /** Guards against an answer that ends inside its head and is passed on as whole. */
    @Test
    void answerCutInItsHeadIsNotWhole(@TempDir Path folder) throws IOException {
        play(
                folder,
                drawn(
                        List.of(
                                AnswerFault.HEAD_CUT,
                                AnswerFault.HEAD_RESET,
                                AnswerFault.HEADERS_CUT)));
    }

    /**
     * Draws by the id of the request, so that a replay draws the same. Most answers are sound: an
     * upstream that fails most of them is no longer used.
     */
    private static Function<FaultyUpstream.Request, AnswerFault> drawn(List<AnswerFault> faults) {
        return request -> {
            int drawn = Math.floorMod(request.id().hashCode(), REQUESTS_PER_FAULT * faults.size());
            return drawn < faults.size() ? faults.get(drawn) : AnswerFault.NONE;
        };
    }

    private static void play(Path folder, Function<FaultyUpstream.Request, AnswerFault> faults)
            throws IOException {
        try (SoakFleet fleet =
                new SoakFleet(folder, 1, ENTRIES, 0, UPSTREAMS, faults, LONGEST_IDLE_MILLIS)) {
            fleet.awaitServing();
            fleet.startCallers();
            Waiting.during(DURATION);
            PlannedStopCheck check = fleet.stopCallers("faulty answers");
            System.out.println(check.summary());
            check.violations().forEach(System.out::println);
            assertThat(check.violations(), empty());
        }
    }
}
