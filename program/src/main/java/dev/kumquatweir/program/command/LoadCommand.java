package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.bench.load.LoadReport;
import dev.kumquatweir.bench.load.LoadRunner;
import dev.kumquatweir.bench.load.PairedRunner;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Generates a load of mixed requests and verifies every response token by token. */
@Command(name = "load", description = "Generate a load of mixed requests and verify every response")
@Examples(
        examples = {
            "kumquatweir load --target http://127.0.0.1:7101 --target http://127.0.0.1:7102 "
                    + "--key ipoh-workshops.example-key --model quote-7b --seconds 20",
            "kumquatweir load --target http://127.0.0.1:7101 --direct http://127.0.0.1:9001 "
                    + "--streams 32 --key ipoh-workshops.example-key --model quote-7b"
        },
        descriptions = {
            "Loads two instances for 20 s; exits with status 1 if a response is wrong",
            "Compares responses through an instance with those of an engine, pair by pair"
        })
public final class LoadCommand implements Callable<Integer> {
    @Option(
            name = "--target",
            title = "URL",
            description = "Caller listener of an instance; may be given several times")
    @Required
    private List<String> mTargets = new ArrayList<>();

    @Option(name = "--key", title = "KEY", description = "API key of a team")
    private String mKey = "";

    @Option(name = "--model", title = "NAME", description = "Model that the requests name")
    @Required
    private String mModel = "";

    @Option(name = "--seconds", title = "N", description = "Length of the run")
    private long mSeconds = 20;

    @Option(name = "--rate", title = "PER SECOND", description = "Completions per second")
    private double mRate = 10;

    @Option(name = "--actions", title = "PER SECOND", description = "Actions per second")
    private double mActions;

    @Option(
            name = "--action-path",
            title = "PATH",
            description = "Path of an action, such as /services/bookings/deposit-holds")
    private List<String> mActionPaths = new ArrayList<>();

    @Option(
            name = "--ledger",
            title = "URL",
            description =
                    "Stand-in service behind the actions, for counting; may be given several times")
    private List<String> mLedgers = new ArrayList<>();

    @Option(
            name = "--direct",
            title = "URL",
            description = "Engine to compare with, pair by pair; --rate and --actions are ignored")
    private List<String> mDirect = new ArrayList<>();

    @Option(name = "--streams", title = "N", description = "Concurrent streams with --direct")
    private int mStreams = 1;

    @Option(name = "--seed", title = "N", description = "Random seed of the request schedule")
    private long mSeed = 1;

    @Override
    public Integer call() {
        return mDirect.isEmpty() ? runLoad() : runComparison();
    }

    private int runLoad() {
        LoadRunner.Builder builder =
                LoadRunner.builder(parseUris(mTargets))
                        .apiKey(mKey)
                        .model(mModel)
                        .seed(mSeed)
                        .durationMillis(mSeconds * 1_000)
                        .chatsPerSecond(mRate)
                        .ledgers(parseUris(mLedgers))
                        .output(System.out::println);
        if (mActions > 0) {
            builder.actions(mActions, mActionPaths);
        }
        LoadReport report = builder.build().run();
        report.lines().forEach(System.out::println);
        return report.exitStatus();
    }

    private int runComparison() {
        return PairedRunner.builder(parseUris(mTargets), parseUris(mDirect))
                .apiKey(mKey)
                .model(mModel)
                .streams(mStreams)
                .durationMillis(mSeconds * 1_000)
                .output(System.out::println)
                .build()
                .run()
                .exitStatus();
    }

    private static List<URI> parseUris(List<String> texts) {
        return texts.stream().map(URI::create).toList();
    }
}
