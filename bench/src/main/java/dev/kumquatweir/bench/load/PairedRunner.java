package dev.kumquatweir.bench.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * Measures what the path through the instances costs. Each of a fixed number of streams sends pairs
 * of prompts of the same length, one through an instance and one directly to an engine, in
 * alternating order. Both sides of a pair meet the same load on the same engines, which two runs
 * one after the other don't.
 */
public final class PairedRunner {
    private static final LengthClass PROMPTS =
            new LengthClass("paired", 1_000, 1_000, 1, 100, 60_000, null, false);
    private static final int EVEN = 2;

    private final List<URI> mThrough;
    private final List<URI> mDirect;
    private final String mApiKey;
    private final String mModel;
    private final int mStreams;
    private final long mDurationMillis;
    private final Consumer<String> mOutput;

    private PairedRunner(Builder builder) {
        mThrough = builder.mThrough;
        mDirect = builder.mDirect;
        mApiKey = builder.mApiKey;
        mModel = builder.mModel;
        mStreams = builder.mStreams;
        mDurationMillis = builder.mDurationMillis;
        mOutput = builder.mOutput;
    }

    /**
     * Starts a measurement with one stream for 20 s.
     *
     * @param through callers' listeners of the instances
     * @param direct listeners of the engines that the instances use
     */
    public static Builder builder(List<URI> through, List<URI> direct) {
        return new Builder(through, direct);
    }

    /** Runs the streams to their end and returns what was measured. */
    public PairedReport run() {
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        try (HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
            Side through = new Side("through", mThrough, client, timer);
            Side direct = new Side("direct", mDirect, client, timer);
            ConcurrentLinkedQueue<Long> differences = new ConcurrentLinkedQueue<>();
            long startNanos = System.nanoTime();
            List<CompletableFuture<Void>> streams =
                    IntStream.range(0, mStreams)
                            .mapToObj(
                                    stream ->
                                            CompletableFuture.runAsync(
                                                    () ->
                                                            pairs(
                                                                    stream,
                                                                    through,
                                                                    direct,
                                                                    differences,
                                                                    startNanos),
                                                    task -> Thread.ofVirtual().start(task)))
                            .toList();
            streams.forEach(CompletableFuture::join);
            long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            PairedReport report =
                    new PairedReport(
                            mStreams,
                            through.report(durationMillis),
                            direct.report(durationMillis),
                            differences.stream().sorted().toList());
            report.lines().forEach(mOutput);
            return report;
        } finally {
            timer.shutdownNow();
        }
    }

    private void pairs(
            int stream,
            Side through,
            Side direct,
            ConcurrentLinkedQueue<Long> differences,
            long startNanos) {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(mDurationMillis);
        for (int pair = 0; System.nanoTime() - startNanos < limitNanos; pair++) {
            int number = stream + pair * mStreams;
            Supplier<Long> callThrough = () -> through.call(number);
            Supplier<Long> callDirect = () -> direct.call(number);
            if (pair % EVEN == 0) {
                long throughNanos = callThrough.get();
                differences.add(throughNanos - callDirect.get());
            } else {
                long directNanos = callDirect.get();
                differences.add(callThrough.get() - directNanos);
            }
        }
    }

    /** One of the two ways to the engines, with what was measured on it. */
    private final class Side {
        private final LoadSettings mSettings;
        private final LoadTally mTally = new LoadTally();
        private final ChatCaller mCaller;

        private Side(
                String name, List<URI> targets, HttpClient client, ScheduledExecutorService timer) {
            mSettings =
                    LoadRunner.builder(targets)
                            .apiKey(mApiKey)
                            .model(mModel)
                            .runName("paired-" + name + "-" + System.nanoTime())
                            .lengthClasses(List.of(PROMPTS))
                            .attempts(1)
                            .settings();
            mCaller = new ChatCaller(client, mSettings, mTally, timer);
        }

        /** Returns the time of the whole answer in nanoseconds. */
        private long call(int number) {
            long beginNanos = System.nanoTime();
            CompletableFuture<Void> end = new CompletableFuture<>();
            String name = mSettings.runName() + "-" + number;
            mCaller.call(
                    new PlannedCall.Chat(number, name, 0, PROMPTS, PROMPTS.minTokens(), number),
                    beginNanos,
                    end);
            end.join();
            return System.nanoTime() - beginNanos;
        }

        private LoadReport report(long durationMillis) {
            return mTally.report(mSettings, durationMillis);
        }
    }

    /** Builds a measurement. Not thread-safe. */
    public static final class Builder {
        private final List<URI> mThrough;
        private final List<URI> mDirect;
        private String mApiKey = "";
        private String mModel = "standin";
        private int mStreams = 1;
        private long mDurationMillis = 20_000;
        private Consumer<String> mOutput = line -> {};

        private Builder(List<URI> through, List<URI> direct) {
            mThrough = new ArrayList<>(through);
            mDirect = new ArrayList<>(direct);
        }

        /** Sets the key of the team. */
        public Builder apiKey(String key) {
            mApiKey = key;
            return this;
        }

        /** Sets the model to ask for. */
        public Builder model(String model) {
            mModel = model;
            return this;
        }

        /** Sets the number of answers that stream at any time, both sides together. */
        public Builder streams(int streams) {
            mStreams = streams;
            return this;
        }

        /** Sets the time in which pairs are started, in milliseconds. */
        public Builder durationMillis(long millis) {
            mDurationMillis = millis;
            return this;
        }

        /** Sets where report lines go. */
        public Builder output(Consumer<String> output) {
            mOutput = output;
            return this;
        }

        /** Returns the measurement. */
        public PairedRunner build() {
            return new PairedRunner(this);
        }
    }
}
