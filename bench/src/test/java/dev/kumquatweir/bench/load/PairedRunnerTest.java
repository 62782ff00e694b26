package dev.kumquatweir.bench.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.standin.StandinEngine;
import dev.kumquatweir.standin.StandinEngineSettings;
import dev.kumquatweir.standin.model.EngineSpeed;
import java.net.URI;
import java.util.List;
import org.junit.jupiter.api.Test;

class PairedRunnerTest {
    /**
     * Guards against pairs of which only one side was sent, and prompts that share a cache entry.
     */
    @Test
    void eachPairIsSentBothWaysWithPromptsOfItsOwn() throws Exception {
        try (StandinEngine engine =
                new StandinEngine(
                        StandinEngineSettings.builder("engine")
                                .speed(EngineSpeed.USUAL.scaled(0.05))
                                .build())) {
            engine.start();
            List<URI> engines =
                    List.of(URI.create("http://127.0.0.1:" + engine.address().getPort()));

            PairedReport report = runner(engines, engines).build().run();

            assertThat(report.exitStatus(), is(0));
            assertThat(report.through().completed(), greaterThan(0L));
            assertThat(report.direct().completed(), is(report.through().completed()));
            assertThat((long) report.differenceNanos().size(), is(report.through().chats()));
            assertThat(report.lines().size(), is(3));
        }
    }

    /** Guards against a measurement that takes refusals of one side for fast answers. */
    @Test
    void incompleteAnswersFailTheMeasurement() throws Exception {
        try (FaultyServer refusing = new FaultyServer(FaultyServer.Mode.REFUSED);
                FaultyServer correct = new FaultyServer(FaultyServer.Mode.CORRECT)) {
            PairedReport report =
                    runner(List.of(refusing.address()), List.of(correct.address())).build().run();

            assertThat(report.exitStatus(), is(1));
        }
    }

    private static PairedRunner.Builder runner(List<URI> through, List<URI> direct) {
        return PairedRunner.builder(through, direct).apiKey("key").streams(4).durationMillis(300);
    }
}
