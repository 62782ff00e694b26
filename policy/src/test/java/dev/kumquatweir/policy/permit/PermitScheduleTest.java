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

/** Permits over random schedules: leader changes, lost, late and repeated messages, freezes. */
class PermitScheduleTest {
    private static final PermitResource REQUESTS =
            new PermitResource.ColdRequests(new UpstreamId("engine-1"));
    private static final PermitResource PREFILL =
            new PermitResource.ColdPrefill(new UpstreamId("engine-1"));
    private static final long STEP_NANOS = 50 * MILLI;
    private static final int HOLDERS = 4;

    /** Guards against instances that together exceed what a cold upstream bears. */
    @Property(seed = "2603", tries = 400)
    void neverAllowsMoreThanTheLimit(@ForAll long seed) {
        Schedule schedule = new Schedule(new Random(seed), false);
        for (int step = 0; step < 400; step++) {
            schedule.step();
            schedule.checkLimits();
        }
    }

    /** Guards against a check that passes because nothing is ever granted. */
    @Property(seed = "2604", tries = 20)
    void grantsToEachHolderWhenNothingFails(@ForAll long seed) {
        Schedule schedule = new Schedule(new Random(seed), true);
        for (int step = 0; step < 600; step++) {
            schedule.step();
            schedule.checkLimits();
        }
        for (int holder = 0; holder < HOLDERS; holder++) {
            assertThat(schedule.mUses.getOrDefault(holder, 0), greaterThan(5));
        }
    }

    private static final class Schedule {
        private final Random mRandom;
        private final boolean mCalm;
        private final List<PermitHolder> mHolders = new ArrayList<>();
        private final long[] mFrozenUntil = new long[HOLDERS];
        private final long[] mIncarnations = new long[HOLDERS];
        private final List<Runnable> mDeliveries = new ArrayList<>();
        private final List<Long> mDeliveryTimes = new ArrayList<>();
        private final Map<Integer, Integer> mUses = new HashMap<>();
        private final List<List<String>> mNames = new ArrayList<>();
        private PermitLedger mLeader;
        private long mNow = -5_000 * MILLI;
        private long mUpstreamIncarnation = 1;
        private long mLimit = 3;
        private long mOldLimitUntil = Long.MIN_VALUE;
        private long mOldLimit;
        private int mNextName;
        private final int mLeaderSteps;

        Schedule(Random random, boolean calm) {
            mRandom = random;
            mCalm = calm;
            mLeaderSteps = 30 + random.nextInt(60);
            mLeader = new PermitLedger(new WeightLoadRateLimiter(1, 1, mNow), mNow);
            setLimits();
            for (int holder = 0; holder < HOLDERS; holder++) {
                mHolders.add(new PermitHolder(new InstanceId("i" + holder), 0));
                mNames.add(new ArrayList<>());
            }
        }

        void step() {
            mNow += STEP_NANOS;
            for (int next = mDeliveries.size() - 1; next >= 0; next--) {
                if (mDeliveryTimes.get(next) <= mNow) {
                    mDeliveryTimes.remove(next);
                    mDeliveries.remove(next).run();
                }
            }
            if (!mCalm && mRandom.nextInt(mLeaderSteps) == 0) {
                mLeader = new PermitLedger(new WeightLoadRateLimiter(1, 1, mNow), mNow);
                setLimits();
            }
            if (!mCalm && mRandom.nextInt(200) == 0) {
                changeLimit();
            }
            int holder = mRandom.nextInt(HOLDERS);
            if (mNow >= mFrozenUntil[holder]) {
                act(holder);
            }
        }

        void checkLimits() {
            long bound = mNow < mOldLimitUntil ? Math.max(mLimit, mOldLimit) : mLimit;
            long requests = 0;
            long prefill = 0;
            for (PermitHolder holder : mHolders) {
                requests += holder.allowedAmount(REQUESTS, mNow);
                prefill += holder.allowedAmount(PREFILL, mNow);
            }
            assertThat(requests, lessThanOrEqualTo(bound));
            assertThat(prefill, lessThanOrEqualTo(bound * 100));
            assertThat(mLeader.outstandingAmount(REQUESTS, mNow) <= bound, is(true));
        }

        /** After a smaller limit old permits may last for one lease; nothing else may exceed it. */
        private void changeLimit() {
            mOldLimit = mNow < mOldLimitUntil ? Math.max(mOldLimit, mLimit) : mLimit;
            mOldLimitUntil = mNow + PermitLedger.LEASE_NANOS;
            mLimit = 1L + mRandom.nextInt(4);
            mUpstreamIncarnation += mRandom.nextInt(2);
            setLimits();
        }

        private void setLimits() {
            mLeader.setLimit(REQUESTS, mUpstreamIncarnation, mLimit);
            mLeader.setLimit(PREFILL, mUpstreamIncarnation, mLimit * 100);
        }

        private void act(int number) {
            PermitHolder holder = mHolders.get(number);
            List<String> names = mNames.get(number);
            int chance = mRandom.nextInt(20);
            if (!mCalm && chance == 0) {
                mFrozenUntil[number] = mNow + mRandom.nextInt(3_000) * MILLI;
                return;
            }
            if (!mCalm && chance == 1) {
                mIncarnations[number]++;
                mHolders.set(
                        number,
                        new PermitHolder(new InstanceId("i" + number), mIncarnations[number]));
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
            if (holder.tryUse(name, mNow)) {
                mUses.merge(number, 1, Integer::sum);
            }
            if (mRandom.nextInt(6) == 0) {
                names.remove(name);
                holder.release(name);
            }
            send(number, holder);
        }

        private void send(int number, PermitHolder holder) {
            PermitRequest request = holder.nextRequest(mNow);
            int copies = mCalm ? 1 : mRandom.nextInt(8) == 0 ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                deliver(
                        () -> {
                            // The answer comes from whoever leads when the request arrives.
                            PermitDecision decision = mLeader.renew(request, mNow);
                            if (decision instanceof PermitDecision.Answer answer) {
                                deliver(() -> receive(number, holder, answer.grant()));
                            }
                        });
            }
        }

        private void receive(int number, PermitHolder holder, PermitGrant grant) {
            if (mNow >= mFrozenUntil[number]) {
                holder.acceptGrant(grant, mNow);
            }
        }

        private void deliver(Runnable delivery) {
            if (!mCalm && mRandom.nextInt(6) == 0) {
                return;
            }
            long delay = mCalm ? 1 : mRandom.nextInt(mRandom.nextInt(10) == 0 ? 3_000 : 200);
            mDeliveries.add(delivery);
            mDeliveryTimes.add(mNow + delay * MILLI);
        }
    }
}
