package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.standin.StandinEngine;
import dev.kumquatweir.standin.StandinEngineSettings;
import dev.kumquatweir.standin.model.EngineLimits;
import dev.kumquatweir.standin.model.EngineSpeed;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Runs a stand-in model engine until it receives SIGTERM. */
@Command(name = "engine", description = "Run a stand-in model engine, for development")
@Examples(
        examples =
                "kumquatweir standin engine --id engine-1 --listen 127.0.0.1:9001 "
                        + "--domain klang-a --service quote-llm --model quote-7b "
                        + "--announce-to 127.0.0.1:7201 --announce-key KEY",
        descriptions = "Runs one engine that announces itself to one instance")
public final class StandinEngineCommand extends StandinCommand implements Callable<Integer> {
    @Option(
            name = "--model",
            title = "NAME",
            description = "Model that is loaded at the start; may be given several times")
    @Required
    private List<String> mModels = new ArrayList<>();

    @Option(name = "--cold", description = "Start in the cold state")
    private boolean mCold;

    @Option(
            name = "--cold-requests",
            title = "NUMBER",
            description = "Requests that the engine can handle while it is cold")
    private int mColdRequests = EngineLimits.USUAL.coldRequests();

    @Option(
            name = "--cold-millis",
            title = "MILLISECONDS",
            description = "Time until a cold engine is warm; 0 means never")
    private long mColdMillis = EngineLimits.USUAL.coldMillis();

    @Option(name = "--ignore-fencing", description = "Accept orders with outdated fencing tokens")
    private boolean mIgnoreFencing;

    @Option(
            name = "--time-scale",
            title = "FACTOR",
            description = "Factor on all times of the usual engine; 5 makes it five times slower")
    private double mTimeScale = 1;

    @Option(name = "--memory-tokens", title = "TOKENS", description = "Size of the KV cache")
    private long mMemoryTokens = EngineLimits.USUAL.memoryTokens();

    @Override
    public Integer call() throws Exception {
        StandinEngineSettings settings =
                StandinEngineSettings.builder(id())
                        .listen(listen())
                        .failureDomain(domain())
                        .service(service())
                        .models(mModels)
                        .startsCold(mCold)
                        .limits(limits())
                        .checksFencing(!mIgnoreFencing)
                        .speed(EngineSpeed.USUAL.scaled(mTimeScale))
                        .reports(reportSettings())
                        .build();
        StandinEngine engine = new StandinEngine(settings, () -> Runtime.getRuntime().halt(137));
        engine.start();
        return runUntilTerminated(engine);
    }

    private EngineLimits limits() {
        EngineLimits usual = EngineLimits.USUAL;
        return new EngineLimits(
                mMemoryTokens,
                usual.maxRunning(),
                mColdRequests,
                usual.coldPrefillTokens(),
                usual.refusesBeyondColdLimit(),
                mColdMillis,
                usual.retainMillis());
    }
}
