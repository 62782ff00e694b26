package dev.kumquatweir.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EngineFakeTest {
    /** Guards against engine constants that make the targets unattainable or trivial to miss. */
    @Test
    void targetsAreAttainableOnOneEngine() {
        long prefill = EngineConstants.idlePrefillNanos(16_000, 0);
        assertThat(prefill, lessThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(860)));
        double chunk = EngineConstants.prefillNanos(EngineConstants.CHUNK_TOKENS, 2_000);
        long step = EngineConstants.stepNanos(20, chunk);
        assertThat(step, lessThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(28)));
    }
}
