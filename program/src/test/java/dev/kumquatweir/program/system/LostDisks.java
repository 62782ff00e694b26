package dev.kumquatweir.program.system;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Decides which instances may lose their disks: at most two in any 10 s, and at most two that do
 * not vote again with their new store. A group of five keeps what it confirmed no longer than that.
 */
final class LostDisks {
    private static final int MAXIMUM = 2;
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final Pattern JOINING =
            Pattern.compile(
                    "event=(?:joining_group|waiting_to_be_added) "
                            + "member=\"?([^\\s\"]+/[0-9a-f]{32})");

    private final Map<StartInstance, Loss> mLost = new HashMap<>();

    private int mCount;

    /**
     * Loss of a disk.
     *
     * @param logStart length of the log at that time: what follows is about the new store
     */
    private record Loss(long nanos, int logStart) {}

    /** Returns whether the instance, which has ended, may lose its disk now, and notes that. */
    boolean mayLose(StartInstance instance, long nowNanos) {
        mLost.entrySet()
                .removeIf(
                        lost ->
                                nowNanos - lost.getValue().nanos() >= INTERVAL_NANOS
                                        && votesAgain(lost.getKey(), lost.getValue()));
        if (mLost.containsKey(instance) || mLost.size() >= MAXIMUM) {
            return false;
        }
        mLost.put(instance, new Loss(nowNanos, instance.process().log().length()));
        mCount++;
        return true;
    }

    /** Returns how many disks were lost in all. */
    int count() {
        return mCount;
    }

    /** Returns whether the store that was made after the loss votes, as its own log shows. */
    private static boolean votesAgain(StartInstance instance, Loss loss) {
        String log = instance.process().log().substring(loss.logStart());
        Optional<String> member =
                JOINING.matcher(log)
                        .results()
                        .map(result -> result.group(1))
                        .reduce((first, second) -> second);
        Optional<String> members =
                log.lines()
                        .filter(line -> line.contains("event=members_changed"))
                        .reduce((first, second) -> second);
        return member.flatMap(id -> members.filter(line -> line.contains(id + ", role=VOTER")))
                .isPresent();
    }
}
