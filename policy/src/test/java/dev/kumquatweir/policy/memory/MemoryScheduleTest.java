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

/** Reconciliation over random restarts, partitions, lost cancels and stale listings. */
class MemoryScheduleTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final int INSTANCES = 3;
    private static final long LONGEST = 60 * SECOND;

    /** Guards against cancelled work of live owners, and against memory that is never freed. */
    @Property(seed = "2607", tries = 150)
    void endsAllOrphansAndNothingElse(@ForAll long seed) {
        Schedule schedule = new Schedule(new Random(seed));
        for (int step = 0; step < 300; step++) {
            schedule.step(true);
        }
        for (int step = 0; step < 150; step++) {
            schedule.step(false);
        }
        assertThat(schedule.mEngine, anEmptyMap());
    }

    private static final class Schedule {
        private final Random mRandom;
        private final List<Instance> mInstances = new ArrayList<>();
        private final Map<AttemptId, Long> mEngine = new HashMap<>();
        private EngineListing mOldListing = listing();
        private long mNow;
        private long mOldListingNanos;

        Schedule(Random random) {
            mRandom = random;
            for (int number = 0; number < INSTANCES; number++) {
                mInstances.add(new Instance(number, 1));
            }
        }

        void step(boolean faults) {
            mNow += SECOND;
            for (int number = 0; number < INSTANCES; number++) {
                Instance instance = mInstances.get(number);
                instance.endOverdue(mNow, this);
                if (faults && mRandom.nextInt(40) == 0) {
                    // A dead instance leaves its attempts behind on the engine.
                    mInstances.set(number, new Instance(number, instance.mIncarnation + 1));
                    continue;
                }
                if (faults && mRandom.nextInt(20) == 0) {
                    instance.mCutOffUntil = mNow + mRandom.nextInt(50) * SECOND;
                }
                if (faults && mRandom.nextInt(3) == 0) {
                    instance.start(this);
                }
                hear(instance);
                reconcile(instance);
            }
            if (mRandom.nextInt(4) == 0) {
                mOldListing = listing();
                mOldListingNanos = mNow;
            }
        }

        private void hear(Instance instance) {
            for (Instance other : mInstances) {
                if (mNow >= instance.mCutOffUntil && mNow >= other.mCutOffUntil) {
                    instance.mDirectory.recordContact(other.mId, other.mIncarnation, mNow);
                }
            }
        }

        private void reconcile(Instance instance) {
            boolean stale = mRandom.nextInt(3) == 0 && mNow - mOldListingNanos < 4 * SECOND;
            EngineListing listing = stale ? mOldListing : listing();
            long asked = stale ? mOldListingNanos : mNow;
            for (MemoryAction action : instance.mLedger.reconcile(listing, asked, mNow)) {
                if (action instanceof MemoryAction.CancelAttempt cancel) {
                    boolean owned =
                            mInstances.stream()
                                    .anyMatch(owner -> owner.mRunning.contains(cancel.attempt()));
                    assertThat("cancelled " + cancel.attempt(), owned, is(false));
                    if (mRandom.nextInt(2) == 0) {
                        mEngine.remove(cancel.attempt());
                    }
                }
            }
        }

        private EngineListing listing() {
            List<EngineListing.HeldAttempt> held = new ArrayList<>();
            mEngine.keySet()
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
        private final Map<AttemptId, Long> mEnds = new HashMap<>();
        private long mCutOffUntil;

        Instance(int number, long incarnation) {
            mId = new InstanceId("i" + number);
            mIncarnation = incarnation;
            mIds = new AttemptIds(mId, incarnation);
            mLedger =
                    MemoryLedger.builder(mId, incarnation, mDirectory)
                            .maximumRequestNanos(LONGEST)
                            .build();
            mLedger.updateEngine(ENGINE, 1, 1_000);
        }

        void start(Schedule schedule) {
            AttemptId attempt = mIds.next();
            mLedger.reserve(ENGINE, attempt, 1, schedule.mNow);
            mRunning.add(attempt);
            mEnds.put(attempt, schedule.mNow + (1 + schedule.mRandom.nextInt(60)) * SECOND);
            schedule.mEngine.put(attempt, schedule.mNow);
        }

        void endOverdue(long nowNanos, Schedule schedule) {
            for (AttemptId attempt : List.copyOf(mRunning)) {
                if (mEnds.getOrDefault(attempt, 0L) <= nowNanos) {
                    mRunning.remove(attempt);
                    mLedger.release(attempt);
                    // Some cancels are lost.
                    if (schedule.mRandom.nextInt(3) > 0) {
                        schedule.mEngine.remove(attempt);
                    }
                }
            }
        }
    }
}
