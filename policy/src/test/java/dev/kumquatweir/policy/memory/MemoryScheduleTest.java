package dev.kumquatweir.policy.memory;

import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests reconciliation over random restarts, partitions, lost cancels and stale listings. */
class MemoryScheduleTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final int INSTANCES = 3;
    private static final long LONGEST_REQUEST_NANOS = 60 * SECOND;

    /** Guards against cancelling attempts that an instance owns, and against memory leaks. */
    @Property(seed = "2607", tries = 150)
    void cancelsAllOrphansAndNothingElse(@ForAll long seed) {
        Schedule schedule = new Schedule(new Random(seed));
        for (int step = 0; step < 300; step++) {
            schedule.step(true);
        }
        for (int step = 0; step < 150; step++) {
            schedule.step(false);
        }
        assertThat(schedule.mEngineAttempts, anEmptyMap());
    }

    private static final class Schedule {
        private final Random mRandom;
        private final List<Instance> mInstances = new ArrayList<>();
        private final Map<AttemptId, Long> mEngineAttempts = new HashMap<>();
        private EngineListing mStaleListing = listing();
        private long mNowNanos;
        private long mStaleListingNanos;

        Schedule(Random random) {
            mRandom = random;
            for (int number = 0; number < INSTANCES; number++) {
                mInstances.add(new Instance(number, 1));
            }
        }

        void step(boolean faults) {
            mNowNanos += SECOND;
            for (int number = 0; number < INSTANCES; number++) {
                Instance instance = mInstances.get(number);
                instance.endOverdue(mNowNanos, this);
                if (faults && mRandom.nextInt(40) == 0) {
                    // A restart leaves the attempts of the old incarnation on the engine.
                    mInstances.set(number, new Instance(number, instance.mIncarnation + 1));
                    continue;
                }
                if (faults && mRandom.nextInt(20) == 0) {
                    instance.mPartitionedUntilNanos = mNowNanos + mRandom.nextInt(50) * SECOND;
                }
                if (faults && mRandom.nextInt(3) == 0) {
                    instance.start(this);
                }
                deliverMessages(instance);
                reconcile(instance);
            }
            if (mRandom.nextInt(4) == 0) {
                mStaleListing = listing();
                mStaleListingNanos = mNowNanos;
            }
        }

        private void deliverMessages(Instance instance) {
            for (Instance other : mInstances) {
                if (mNowNanos >= instance.mPartitionedUntilNanos
                        && mNowNanos >= other.mPartitionedUntilNanos) {
                    instance.mDirectory.recordContact(other.mId, other.mIncarnation, mNowNanos);
                }
            }
        }

        private void reconcile(Instance instance) {
            boolean stale = mRandom.nextInt(3) == 0 && mNowNanos - mStaleListingNanos < 4 * SECOND;
            EngineListing listing = stale ? mStaleListing : listing();
            long requestedNanos = stale ? mStaleListingNanos : mNowNanos;
            for (MemoryAction action :
                    instance.mLedger.reconcile(listing, requestedNanos, mNowNanos)) {
                if (action instanceof MemoryAction.CancelAttempt cancel) {
                    boolean owned =
                            mInstances.stream()
                                    .anyMatch(owner -> owner.mRunning.contains(cancel.attempt()));
                    assertThat("cancelled " + cancel.attempt(), owned, is(false));
                    if (mRandom.nextInt(2) == 0) {
                        mEngineAttempts.remove(cancel.attempt());
                    }
                }
            }
        }

        private EngineListing listing() {
            List<EngineListing.HeldAttempt> held = new ArrayList<>();
            mEngineAttempts
                    .keySet()
                    .forEach(attempt -> held.add(new EngineListing.HeldAttempt(attempt, 1)));
            return new EngineListing(ENGINE, 1, held, List.of());
        }
    }

    private static final class Instance {
        private final InstanceId mId;
        private final long mIncarnation;
        private final AttemptIds mIds;
        private final InstanceDirectory mDirectory = new InstanceDirectory();
        private final MemoryLedger mLedger;
        private final Set<AttemptId> mRunning = new HashSet<>();
        private final Map<AttemptId, Long> mEndNanos = new HashMap<>();
        private long mPartitionedUntilNanos;

        Instance(int number, long incarnation) {
            mId = new InstanceId("i" + number);
            mIncarnation = incarnation;
            mIds = new AttemptIds(mId, incarnation);
            mLedger =
                    MemoryLedger.builder(mId, incarnation, mDirectory)
                            .maximumRequestNanos(LONGEST_REQUEST_NANOS)
                            .build();
            mLedger.updateEngine(ENGINE, 1, 1_000);
        }

        void start(Schedule schedule) {
            AttemptId attempt = mIds.next();
            mLedger.reserve(ENGINE, attempt, 1, schedule.mNowNanos);
            mRunning.add(attempt);
            mEndNanos.put(
                    attempt, schedule.mNowNanos + (1 + schedule.mRandom.nextInt(60)) * SECOND);
            schedule.mEngineAttempts.put(attempt, schedule.mNowNanos);
        }

        void endOverdue(long nowNanos, Schedule schedule) {
            for (AttemptId attempt : List.copyOf(mRunning)) {
                if (mEndNanos.getOrDefault(attempt, 0L) <= nowNanos) {
                    mRunning.remove(attempt);
                    mLedger.release(attempt);
                    // Some cancels are lost.
                    if (schedule.mRandom.nextInt(3) > 0) {
                        schedule.mEngineAttempts.remove(attempt);
                    }
                }
            }
        }
    }
}
