package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.policy.memory.forecast.MemoryForecast;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which answers the length of outputs is learned from. */
final class MemoryModelTest {
    private final MemoryModel mModel = new MemoryModel(0.99);

    /** Guards against expecting short answers since the rest of resumed streams is short. */
    @Test
    void restOfResumedStreamIsNotLearned() {
        double before = forecastTokens();
        answer(true, 1, 100);
        assertThat(forecastTokens(), closeTo(before, 1));
    }

    /** Guards against lengths that are never learned. */
    @Test
    void completeAnswerIsLearned() {
        double before = forecastTokens();
        answer(false, 350, 100);
        assertThat(forecastTokens(), greaterThan(1.5 * before));
    }

    private void answer(boolean retry, long events, int times) {
        for (int count = 0; count < times; count++) {
            PlacedPart part = new PlacedPart(request(retry), true, 0, 0, 0, 0);
            part.recordEventCount(events);
            mModel.answered(part, MemoryReplay.COST);
        }
    }

    private double forecastTokens() {
        MemoryForecast forecast = mModel.forEngine();
        return forecast.tokensWith(mModel.candidate(request(false)));
    }

    private static PlacementRequest request(boolean retry) {
        PlacementKey key = new PlacementKey(new InstanceId("entry"), 1);
        return PlacementRequest.builder(key, "request", SchedulerReplay.SERVICE)
                .origin("team", "short")
                .generation(100, 1_610, 0)
                .previousAttempts(Set.of(), retry)
                .build();
    }
}
