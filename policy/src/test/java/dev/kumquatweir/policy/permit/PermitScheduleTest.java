package dev.kumquatweir.policy.permit;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests permits over random schedules with leader changes, holder restarts and suspensions, and
 * lost, delayed and duplicated messages.
 */
class PermitScheduleTest {
    private static final PermitResource REQUESTS =
            new PermitResource.ColdRequests(new UpstreamId("engine-1"));
    private static final PermitResource PREFILL =
            new PermitResource.ColdPrefill(new UpstreamId("engine-1"));
    private static final long STEP_NANOS = 50 * MILLI;
    private static final int HOLDERS = 4;

    /** Guards against instances that together exceed the limit of a cold upstream. */
    @Property(seed = "2603", tries = 400)
    void neverAllowsMoreThanTheLimit(@ForAll long seed) {
        Schedule schedule = new Schedule(new Random(seed), false);
        for (int step = 0; step < 400; step++) {
            schedule.step();
            schedule.checkLimits();
        }
    }

    /** Guards against a limit check that passes because no permits are granted at all. */
    @Property(seed = "2604", tries = 20)
    void grantsToEachHolderWhenNothingFails(@ForAll long seed) {
        Schedule schedule = new Schedule(new Random(seed), true);
        for (int step = 0; step < 600; step++) {
            schedule.step();
            schedule.checkLimits();
        }
        for (int holder = 0; holder < HOLDERS; holder++) {
            assertThat(schedule.mUseCounts.getOrDefault(holder, 0), greaterThan(5));
        }
    }

    private static final class Schedule {
        private final Random mRandom;
        private final boolean mFaultless;
        private final List<PermitHolder> mHolders = new ArrayList<>();
        private final long[] mSuspendedUntilNanos = new long[HOLDERS];
        private final long[] mIncarnations = new long[HOLDERS];
        private final List<Runnable> mDeliveries = new ArrayList<>();
        private final List<Long> mDeliveryTimesNanos = new ArrayList<>();
        private final Map<Integer, Integer> mUseCounts = new HashMap<>();
        private final List<List<String>> mClaimNames = new ArrayList<>();
        private PermitLedger mLeader;
        private long mNowNanos = -5_000 * MILLI;
        private long mUpstreamIncarnation = 1;
        private long mLimit = 3;
        private long mOldLimitUntilNanos = Long.MIN_VALUE;
        private long mOldLimit;
        private int mNextName;
        private final int mStepsPerLeader;

        Schedule(Random random, boolean faultless) {
            mRandom = random;
            mFaultless = faultless;
            mStepsPerLeader = 30 + random.nextInt(60);
            mLeader = new PermitLedger(new WeightLoadRateLimiter(1, 1, mNowNanos), mNowNanos);
            setLimits();
            for (int holder = 0; holder < HOLDERS; holder++) {
                mHolders.add(new PermitHolder(new InstanceId("i" + holder), 0));
                mClaimNames.add(new ArrayList<>());
            }
        }

        void step() {
            mNowNanos += STEP_NANOS;
            for (int next = mDeliveries.size() - 1; next >= 0; next--) {
                if (mDeliveryTimesNanos.get(next) <= mNowNanos) {
                    mDeliveryTimesNanos.remove(next);
                    mDeliveries.remove(next).run();
                }
            }
            if (!mFaultless && mRandom.nextInt(mStepsPerLeader) == 0) {
                mLeader = new PermitLedger(new WeightLoadRateLimiter(1, 1, mNowNanos), mNowNanos);
                setLimits();
            }
            if (!mFaultless && mRandom.nextInt(200) == 0) {
                changeLimit();
            }
            int holder = mRandom.nextInt(HOLDERS);
            if (mNowNanos >= mSuspendedUntilNanos[holder]) {
                act(holder);
            }
        }

        void checkLimits() {
            long bound = mNowNanos < mOldLimitUntilNanos ? Math.max(mLimit, mOldLimit) : mLimit;
            long requests = 0;
            long prefill = 0;
            for (PermitHolder holder : mHolders) {
                requests += holder.allowedAmount(REQUESTS, mNowNanos);
                prefill += holder.allowedAmount(PREFILL, mNowNanos);
            }
            assertThat(requests, lessThanOrEqualTo(bound));
            assertThat(prefill, lessThanOrEqualTo(bound * 100));
            assertThat(mLeader.outstandingAmount(REQUESTS, mNowNanos) <= bound, is(true));
        }

        /**
         * Changes the limit. If it is lowered, earlier permits may exceed it for one lease; nothing
         * else may.
         */
        private void changeLimit() {
            mOldLimit = mNowNanos < mOldLimitUntilNanos ? Math.max(mOldLimit, mLimit) : mLimit;
            mOldLimitUntilNanos = mNowNanos + PermitLedger.LEASE_NANOS;
            mLimit = 1L + mRandom.nextInt(4);
            mUpstreamIncarnation += mRandom.nextInt(2);
            setLimits();
        }

        private void setLimits() {
            mLeader.setLimit(REQUESTS, mUpstreamIncarnation, mLimit);
            mLeader.setLimit(PREFILL, mUpstreamIncarnation, mLimit * 100);
        }

        private void act(int index) {
            PermitHolder holder = mHolders.get(index);
            List<String> names = mClaimNames.get(index);
            int chance = mRandom.nextInt(20);
            if (!mFaultless && chance == 0) {
                mSuspendedUntilNanos[index] = mNowNanos + mRandom.nextInt(3_000) * MILLI;
                return;
            }
            if (!mFaultless && chance == 1) {
                mIncarnations[index]++;
                mHolders.set(
                        index, new PermitHolder(new InstanceId("i" + index), mIncarnations[index]));
                names.clear();
                return;
            }
            if (names.size() < 3) {
                String name = "n" + mNextName++;
                names.add(name);
                holder.claim(
                        name,
                        List.of(
                                new PermitPart(REQUESTS, mUpstreamIncarnation, 1),
                                new PermitPart(
                                        PREFILL, mUpstreamIncarnation, 1 + mRandom.nextInt(100))));
            }
            String name = names.get(mRandom.nextInt(names.size()));
            if (holder.tryUse(name, mNowNanos)) {
                mUseCounts.merge(index, 1, Integer::sum);
            }
            if (mRandom.nextInt(6) == 0) {
                names.remove(name);
                holder.release(name);
            }
            send(index, holder);
        }

        private void send(int index, PermitHolder holder) {
            PermitRequest request = holder.nextRequest(mNowNanos);
            int copies = mFaultless ? 1 : mRandom.nextInt(8) == 0 ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                deliver(
                        () -> {
                            // The instance that leads when the request arrives answers it.
                            PermitDecision decision = mLeader.renew(request, mNowNanos);
                            if (decision instanceof PermitDecision.Answer answer) {
                                deliver(() -> receive(index, holder, answer.grant()));
                            }
                        });
            }
        }

        private void receive(int index, PermitHolder holder, PermitGrant grant) {
            if (mNowNanos >= mSuspendedUntilNanos[index]) {
                holder.acceptGrant(grant, mNowNanos);
            }
        }

        private void deliver(Runnable delivery) {
            if (!mFaultless && mRandom.nextInt(6) == 0) {
                return;
            }
            long delay = mFaultless ? 1 : mRandom.nextInt(mRandom.nextInt(10) == 0 ? 3_000 : 200);
            mDeliveries.add(delivery);
            mDeliveryTimesNanos.add(mNowNanos + delay * MILLI);
        }
    }
}
