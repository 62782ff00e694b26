package dev.kumquatweir.policy.sharing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Accounts of teams whose requests all have the same work, on a service that places one at a time.
 */
final class ServiceSharingTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double WORK = 100;
    private static final long MAXIMUM_RETURN_NANOS = 3_300 * MILLI;

    private final Map<String, Double> mWeights = new HashMap<>();
    private final ServiceSharing mSharing =
            new ServiceSharing(team -> mWeights.getOrDefault(team, 1.0));
    private final List<ShareEntry<String>> mWaiting = new ArrayList<>();
    private long mNowNanos;

    /** Guards against a team that saves up share while it sends nothing and then starves others. */
    @Test
    void idleTeamHasNoCredit() {
        wait("a", 200);
        place(100);
        wait("b", 100);
        assertThat(countPlaced("b", 40), is(20));
    }

    /** Guards against ignoring the weights of the routing document. */
    @Test
    void weightsDivideTheWork() {
        mWeights.put("a", 3.0);
        wait("a", 100);
        wait("b", 100);
        assertThat(countPlaced("a", 40), is(30));
    }

    /** Guards against a less urgent rank that is served before a more urgent one. */
    @Test
    void lowerRankIsServedFirst() {
        wait("less-urgent/1", 10);
        wait("urgent", 10);
        assertThat(countPlaced("urgent", 10), is(10));
    }

    /** Guards against late returning requests that are never served among newer ones. */
    @Test
    void eachFifthTurnGoesToReturningRequest() {
        wait("a", 100);
        for (int number = 0; number < 20; number++) {
            mWaiting.add(new ShareEntry<>("a", "a", WORK, true, true, number));
        }
        int returned = 0;
        for (int turn = 0; turn < 50; turn++) {
            ShareEntry<String> placed = placeNext();
            returned += placed.returning() ? 1 : 0;
        }
        assertThat(returned, is(10));
    }

    /** Guards against early rejections before the rate of the service is known. */
    @Test
    void waitIsUnknownAtTheBeginning() {
        mSharing.recordShortage(mNowNanos);
        wait("a", 100);
        place(10);
        assertThat(mSharing.waitNanos(1_000_000, mNowNanos), is(0L));
    }

    /** Guards against a wait that does not follow from the work ahead and the measured rate. */
    @Test
    void waitFollowsFromRate() {
        saturate("a");
        double workOfTenSeconds = 10_000 / 10 * WORK;
        assertThat(
                (double) mSharing.waitNanos(workOfTenSeconds, mNowNanos),
                closeTo(5_000.0 * MILLI, 250.0 * MILLI));
    }

    /** Guards against callers of one team that are all told to return at the same time. */
    @Test
    void returnsOfOneTeamFollowEachOther() {
        saturate("a");
        long previous = 0;
        for (int caller = 0; caller < 20; caller++) {
            long told = told("a");
            assertThat(told, greaterThan(previous));
            assertThat(told, lessThanOrEqualTo(MAXIMUM_RETURN_NANOS));
            previous = told;
        }
        assertThat(told("b"), lessThanOrEqualTo(previous / 2));
    }

    /** Guards against shares that stay in force when the overload is over. */
    @Test
    void overloadEndsWithShortage() {
        mSharing.recordShortage(mNowNanos);
        assertThat(mSharing.overloaded(mNowNanos + 900 * MILLI), is(true));
        assertThat(mSharing.overloaded(mNowNanos + 1_100 * MILLI), is(false));
    }

    /** Guards against a team with running requests that waits for seconds after a leader change. */
    @Test
    void runningRequestsCountAsOneAtMost() {
        for (int number = 0; number < 50; number++) {
            mSharing.registerRunning("a", 0, WORK);
        }
        wait("a", 50);
        wait("b", 50);
        assertThat(countPlaced("a", 20), greaterThanOrEqualTo(9));
    }

    private long told(String team) {
        OptionalLong nanos = mSharing.returnNanos(team, 0, WORK, MAXIMUM_RETURN_NANOS, mNowNanos);
        return nanos.orElseThrow();
    }

    /** Places a request each 10 ms for six seconds, while others find no room. */
    private void saturate(String team) {
        wait(team, 700);
        for (int turn = 0; turn < 600; turn++) {
            mNowNanos += 10 * MILLI;
            mSharing.recordShortage(mNowNanos);
            placeNext();
        }
    }

    /** Adds waiting requests; the item is the team with its rank after a slash. */
    private void wait(String item, int count) {
        String team = item.split("/", 2)[0];
        for (int number = 0; number < count; number++) {
            mWaiting.add(new ShareEntry<>(item, team, WORK, false, false, 1_000 + number));
        }
    }

    private int countPlaced(String item, int turns) {
        int count = 0;
        for (int turn = 0; turn < turns; turn++) {
            count += placeNext().item().equals(item) ? 1 : 0;
        }
        return count;
    }

    private void place(int turns) {
        for (int turn = 0; turn < turns; turn++) {
            placeNext();
        }
    }

    private ShareEntry<String> placeNext() {
        List<ShareEntry<ShareEntry<String>>> entries =
                mWaiting.stream()
                        .map(
                                entry ->
                                        new ShareEntry<>(
                                                entry,
                                                entry.team(),
                                                entry.work(),
                                                entry.late(),
                                                entry.returning(),
                                                entry.firstArrivedNanos()))
                        .toList();
        ShareEntry<String> next =
                mSharing.order(entries, entry -> rank(entry.item())).get(0).item();
        mWaiting.remove(next);
        mSharing.recordPlacement(next.team(), rank(next.item()), next.work(), mNowNanos);
        return next;
    }

    private static int rank(String item) {
        return item.contains("/") ? Integer.parseInt(item.split("/", 2)[1]) : 0;
    }
}
