package dev.kumquatweir.bench.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Sends an open-loop schedule of streamed chat completions and actions to running instances,
 * verifies each answer and reports. Each run sends the same calls for the same settings and seed.
 */
public final class LoadRunner {
    private static final int SENDING_THREADS = 4;

    private final LoadSettings mSettings;
    private final Consumer<String> mOutput;
    private final LoadTally mTally = new LoadTally();

    private LoadRunner(LoadSettings settings, Consumer<String> output) {
        mSettings = settings;
        mOutput = output;
    }

    /** Starts a run with defaults: 10 s, 10 short chats each second, seed 1, no actions. */
    public static Builder builder(List<URI> targets) {
        return new Builder(targets);
    }

    /**
     * Runs the schedule, waits for all answers up to their limits, and checks the ledgers. May be
     * called once.
     */
    public LoadReport run() {
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        ExecutorService senders = Executors.newFixedThreadPool(SENDING_THREADS);
        try (HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
            ScheduledFuture<?> unused =
                    timer.scheduleAtFixedRate(
                            () -> mOutput.accept(mTally.progress()),
                            mSettings.progressMillis(),
                            mSettings.progressMillis(),
                            TimeUnit.MILLISECONDS);
            ChatCaller chats = new ChatCaller(client, mSettings, mTally, timer);
            ActionCaller actions = new ActionCaller(client, mSettings, mTally, timer);
            long startNanos = System.nanoTime();
            sendAll(startNanos, chats, actions, senders);
            long durationNanos = System.nanoTime() - startNanos;
            actions.checkLedgers();
            client.shutdownNow();
            LoadReport report =
                    mTally.report(mSettings, TimeUnit.NANOSECONDS.toMillis(durationNanos));
            report.lines().forEach(mOutput);
            return report;
        } finally {
            timer.shutdownNow();
            senders.shutdownNow();
        }
    }

    private void sendAll(
            long startNanos, ChatCaller chats, ActionCaller actions, ExecutorService senders) {
        List<CompletableFuture<?>> ends = new ArrayList<>();
        for (PlannedCall call : LoadSchedule.plan(mSettings)) {
            long plannedNanos = startNanos + call.offsetNanos();
            awaitTime(plannedNanos);
            CompletableFuture<Void> end = new CompletableFuture<>();
            ends.add(end);
            senders.execute(() -> send(call, plannedNanos, chats, actions, end));
        }
        CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new)).join();
    }

    private void send(
            PlannedCall call,
            long plannedNanos,
            ChatCaller chats,
            ActionCaller actions,
            CompletableFuture<Void> end) {
        mTally.mSendLag.recordNanos(System.nanoTime() - plannedNanos);
        try {
            switch (call) {
                case PlannedCall.Chat chat -> chats.call(chat, plannedNanos, end);
                case PlannedCall.Action action -> actions.call(action, end);
            }
        } catch (RuntimeException | Error fault) {
            end.completeExceptionally(fault);
        }
    }

    private static void awaitTime(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }

    /** Builds a run. Not thread-safe. */
    public static final class Builder {
        private final List<URI> mTargets;
        private String mApiKey = "";
        private String mModel = "standin";
        private String mRunName = "load-" + System.currentTimeMillis();
        private long mSeed = 1;
        private long mDurationMillis = 10_000;
        private double mChatsPerSecond = 10;
        private List<LengthClass> mLengthClasses =
                List.of(new LengthClass("short", 1_000, 4_000, 1, 100, 30_000, null, true));
        private int mPrefixGroups = 1;
        private long mPrefixTokens;
        private double mActionsPerSecond;
        private List<String> mActionPaths = List.of();
        private List<URI> mLedgers = List.of();
        private int mAttempts = 4;
        private long mActionLimitMillis = 70_000;
        private long mGraceMillis = 5_000;
        private long mProgressMillis = 5_000;
        private long mBaselineMillis;
        private boolean mToleratesInterruptions;
        private Consumer<String> mOutput = System.out::println;

        private Builder(List<URI> targets) {
            mTargets = targets;
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

        /** Sets the start of all names of calls; idempotency keys must differ between runs. */
        public Builder runName(String name) {
            mRunName = name;
            return this;
        }

        /** Sets the seed of the schedule. */
        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        /** Sets the time in which calls are sent, in milliseconds. */
        public Builder durationMillis(long millis) {
            mDurationMillis = millis;
            return this;
        }

        /** Sets the rate of chats. */
        public Builder chatsPerSecond(double rate) {
            mChatsPerSecond = rate;
            return this;
        }

        /** Sets the mix of prompt lengths. */
        public Builder lengthClasses(List<LengthClass> classes) {
            mLengthClasses = classes;
            return this;
        }

        /** Lets prompts of a group share their first tokens, at most half of each prompt. */
        public Builder sharedPrefixes(int groups, long tokens) {
            mPrefixGroups = groups;
            mPrefixTokens = tokens;
            return this;
        }

        /** Sets the rate of actions and their paths, as {@code /services/bookings/holds}. */
        public Builder actions(double perSecond, List<String> paths) {
            mActionsPerSecond = perSecond;
            mActionPaths = paths;
            return this;
        }

        /** Sets the stand-in services whose ledgers are compared at the end; none is no check. */
        public Builder ledgers(List<URI> ledgers) {
            mLedgers = ledgers;
            return this;
        }

        /** Sets how often a call is sent at most. */
        public Builder attempts(int attempts) {
            mAttempts = attempts;
            return this;
        }

        /** Sets the limit of one try of an action in milliseconds. */
        public Builder actionLimitMillis(long millis) {
            mActionLimitMillis = millis;
            return this;
        }

        /** Sets the time past its limit after which an answer counts as lost. */
        public Builder graceMillis(long millis) {
            mGraceMillis = millis;
            return this;
        }

        /** Sets the time between progress lines in milliseconds. */
        public Builder progressMillis(long millis) {
            mProgressMillis = millis;
            return this;
        }

        /** Sets the total time that counts as slowdown 1; 0 takes the least seen in the class. */
        public Builder baselineMillis(long millis) {
            mBaselineMillis = millis;
            return this;
        }

        /** Counts broken connections without taking them for violations. */
        public Builder toleratesInterruptions(boolean tolerates) {
            mToleratesInterruptions = tolerates;
            return this;
        }

        /** Sets where progress and report lines go. */
        public Builder output(Consumer<String> output) {
            mOutput = output;
            return this;
        }

        /**
         * Returns the run.
         *
         * @throws IllegalArgumentException if targets, length classes or action paths are missing
         */
        public LoadRunner build() {
            return new LoadRunner(settings(), mOutput);
        }

        LoadSettings settings() {
            return new LoadSettings(
                    mTargets,
                    mApiKey,
                    mModel,
                    mRunName,
                    mSeed,
                    mDurationMillis,
                    mChatsPerSecond,
                    mLengthClasses,
                    mPrefixGroups,
                    mPrefixTokens,
                    mActionsPerSecond,
                    mActionPaths,
                    mLedgers,
                    mAttempts,
                    mActionLimitMillis,
                    mGraceMillis,
                    mProgressMillis,
                    mBaselineMillis,
                    mToleratesInterruptions);
        }
    }
}
