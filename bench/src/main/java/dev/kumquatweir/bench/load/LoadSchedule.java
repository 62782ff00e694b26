package dev.kumquatweir.bench.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Plans the calls of a run: Poisson arrivals that do not wait for answers. The same settings give
 * the same plan.
 */
final class LoadSchedule {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LoadSettings mSettings;
    private final SplittableRandom mRandom;
    private int mNextNumber;

    private LoadSchedule(LoadSettings settings) {
        mSettings = settings;
        mRandom = new SplittableRandom(settings.seed());
    }

    /** Returns the calls in the order of their time. */
    static List<PlannedCall> plan(LoadSettings settings) {
        LoadSchedule schedule = new LoadSchedule(settings);
        List<PlannedCall> calls = new ArrayList<>();
        schedule.arrivals(settings.chatsPerSecond(), schedule::chat, calls);
        schedule.arrivals(settings.actionsPerSecond(), schedule::action, calls);
        calls.sort(Comparator.comparingLong(PlannedCall::offsetNanos));
        return calls;
    }

    private void arrivals(
            double perSecond, LongFunction<PlannedCall> planned, List<PlannedCall> calls) {
        if (perSecond <= 0) {
            return;
        }
        long endNanos = TimeUnit.MILLISECONDS.toNanos(mSettings.durationMillis());
        double atNanos = gapNanos(perSecond);
        while (atNanos < endNanos) {
            calls.add(planned.apply((long) atNanos));
            atNanos += gapNanos(perSecond);
        }
    }

    private double gapNanos(double perSecond) {
        return -Math.log(1 - mRandom.nextDouble()) * NANOS_PER_SECOND / perSecond;
    }

    private PlannedCall chat(long offsetNanos) {
        LengthClass lengthClass = pickClass();
        double spread = Math.log((double) lengthClass.maxTokens() / lengthClass.minTokens());
        long tokens = Math.round(lengthClass.minTokens() * Math.exp(spread * mRandom.nextDouble()));
        int group = mRandom.nextInt(Math.max(1, mSettings.prefixGroups()));
        int number = mNextNumber++;
        return new PlannedCall.Chat(number, name(number), offsetNanos, lengthClass, tokens, group);
    }

    private PlannedCall action(long offsetNanos) {
        int path = mRandom.nextInt(mSettings.actionPaths().size());
        int number = mNextNumber++;
        return new PlannedCall.Action(
                number, name(number), offsetNanos, mSettings.actionPaths().get(path));
    }

    private LengthClass pickClass() {
        double total = mSettings.lengthClasses().stream().mapToDouble(LengthClass::weight).sum();
        double picked = mRandom.nextDouble() * total;
        for (LengthClass candidate : mSettings.lengthClasses()) {
            picked -= candidate.weight();
            if (picked < 0) {
                return candidate;
            }
        }
        return mSettings.lengthClasses().getLast();
    }

    private String name(int number) {
        return mSettings.runName() + "-" + number;
    }
}
