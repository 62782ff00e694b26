package dev.kumquatweir.program.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.permit.ColdPermits;
import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitHolder;
import dev.kumquatweir.policy.permit.PermitRequest;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Four instances and a leader that share the limit of one cold upstream, in virtual time. */
class SharedColdLimitTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int STEPS = 6_000;
    private static final int INSTANCES = 4;
    private static final long PREFILL_TOKENS = 8_000;

    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Delivery> mDeliveries = new ArrayList<>();
    private long mNowNanos;
    private boolean mLeaderReachable = true;
    private UpstreamObservations mObservations =
            new UpstreamObservations(new Clocks(() -> 0, () -> 0));
    private PermitIssuer mLeader = new PermitIssuer(mObservations);

    private record Delivery(long atNanos, Runnable action) {}

    /** Guards against instances that together exceed the limit, and against one left without. */
    @ParameterizedTest
    @CsvSource({"1,7101", "2,7102", "2,7103", "3,7104"})
    void instancesStayWithinTheLimitAndEachMakesProgress(int limit, long seed) {
        Random random = new Random(seed);
        startInstances(limit, random, 0.02);
        for (int step = 0; step < STEPS; step++) {
            step(limit);
        }
        mInstances.forEach(
                instance -> assertThat("seed " + seed, instance.mFinished, greaterThan(3)));
    }

    /** Guards against a new leader that grants what permits of the old one still allow. */
    @ParameterizedTest
    @CsvSource({"1,7201", "2,7202", "2,7203"})
    void instancesStayWithinTheLimitAcrossLeaderChanges(int limit, long seed) {
        Random random = new Random(seed);
        startInstances(limit, random, 0.02);
        for (int step = 0; step < STEPS; step++) {
            if (step % 1_000 == 500) {
                mLeader = newLeader(limit);
            }
            step(limit);
        }
        mInstances.forEach(
                instance -> assertThat("seed " + seed, instance.mFinished, greaterThan(1)));
    }

    /** Guards against new work on a cold upstream without a leader once old permits have ended. */
    @ParameterizedTest
    @CsvSource({"2,7301"})
    void noRequestStartsOncePermitsExpireWithoutLeader(int limit, long seed) {
        startInstances(limit, new Random(seed), 0);
        for (int step = 0; step < 1_000; step++) {
            step(limit);
        }
        mLeaderReachable = false;
        for (int step = 0; step < 400; step++) {
            step(limit);
        }
        int started = mInstances.stream().mapToInt(instance -> instance.mStarted).sum();
        for (int step = 0; step < 1_000; step++) {
            step(limit);
        }
        assertThat(mInstances.stream().mapToInt(instance -> instance.mStarted).sum(), is(started));
    }

    private void startInstances(int limit, Random random, double lossShare) {
        mLeader = newLeader(limit);
        IntStream.range(0, INSTANCES)
                .forEach(
                        number ->
                                mInstances.add(
                                        new Instance("entry-" + number, limit, random, lossShare)));
    }

    private void step(int limit) {
        mNowNanos += STEP_NANOS;
        announce(limit);
        mLeader.tick(mNowNanos);
        List<Delivery> due =
                mDeliveries.stream().filter(delivery -> delivery.atNanos() <= mNowNanos).toList();
        mDeliveries.removeAll(due);
        due.forEach(delivery -> delivery.action().run());
        mInstances.forEach(Instance::step);
        int running =
                mInstances.stream().mapToInt(instance -> instance.mEndTimesNanos.size()).sum();
        assertThat("running together", running, lessThanOrEqualTo(limit));
    }

    private PermitIssuer newLeader(int limit) {
        UpstreamObservations observations =
                new UpstreamObservations(new Clocks(() -> mNowNanos, () -> 0));
        mObservations = observations;
        announce(limit);
        PermitIssuer issuer = new PermitIssuer(observations);
        issuer.beginLeadership(mNowNanos);
        return issuer;
    }

    private void announce(int limit) {
        mObservations.upstreamAnnounced(
                new Announcement(
                        ENGINE,
                        1,
                        "127.0.0.1:1",
                        new FailureDomain("klang-a"),
                        UpstreamKind.ENGINE,
                        new ServiceName("quote-llm"),
                        Set.of(),
                        400_000,
                        UpstreamRole.MIXED,
                        true,
                        true,
                        new ColdLimit(limit, PREFILL_TOKENS),
                        64));
    }

    /** An instance that always has work waiting; each piece takes a time between 0.1 and 2 s. */
    private final class Instance implements PermitPort {
        private final Random mRandom;
        private final double mLossShare;
        private final ColdLimit mLimit;
        private final ColdPermits mCold;
        private final PermitRenewal mRenewal;
        private final Deque<Long> mEndTimesNanos = new ArrayDeque<>();
        private int mStarted;
        private int mFinished;

        Instance(String name, int limit, Random random, double lossShare) {
            mRandom = random;
            mLossShare = lossShare;
            mLimit = new ColdLimit(limit, PREFILL_TOKENS);
            PermitHolder holder = new PermitHolder(new InstanceId(name), 1);
            mCold = new ColdPermits(holder);
            mRenewal = new PermitRenewal(holder, mCold, this, new MetricRegistry());
        }

        void step() {
            if (mEndTimesNanos.removeIf(end -> end <= mNowNanos)) {
                mFinished++;
                report(new ColdLimit(0, 0));
            }
            mRenewal.poll(mNowNanos);
            ColdLimit granted = mCold.granted(ENGINE, 1, mLimit, mNowNanos);
            long tokens = mRandom.nextLong(1, PREFILL_TOKENS / mLimit.requests());
            if (mEndTimesNanos.size() < granted.requests() && tokens <= granted.prefillTokens()) {
                mEndTimesNanos.add(
                        mNowNanos + TimeUnit.MILLISECONDS.toNanos(mRandom.nextLong(100, 2_000)));
                mStarted++;
                report(new ColdLimit(0, 0));
            } else {
                report(new ColdLimit(1, tokens));
            }
        }

        private void report(ColdLimit wanted) {
            mCold.reportUse(ENGINE, 1, new ColdLimit(mEndTimesNanos.size(), 0), wanted, mNowNanos);
        }

        @Override
        public CompletionStage<Optional<PermitGrant>> renew(PermitRequest request) {
            CompletableFuture<Optional<PermitGrant>> response = new CompletableFuture<>();
            if (!mLeaderReachable || mRandom.nextDouble() < mLossShare) {
                schedule(250, () -> response.complete(Optional.empty()));
                return response;
            }
            PermitRequest received = PermitCodec.decodeRequest(PermitCodec.encode(request)).get();
            schedule(mRandom.nextInt(50), () -> decide(received, response));
            return response;
        }

        private void decide(
                PermitRequest request, CompletableFuture<Optional<PermitGrant>> response) {
            Optional<PermitGrant> grant = mLeader.renew(request, 1, mNowNanos);
            PermitResponse sent = new PermitResponse(grant, "entry-0");
            PermitResponse received = PermitCodec.decodeResponse(PermitCodec.encode(sent)).get();
            boolean lost = mRandom.nextDouble() < mLossShare;
            schedule(
                    lost ? 250 : mRandom.nextInt(50),
                    () -> response.complete(lost ? Optional.empty() : received.grant()));
        }

        private void schedule(int delayMillis, Runnable action) {
            long atNanos = mNowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
            mDeliveries.add(new Delivery(atNanos, action));
        }

        @Override
        public UpstreamObservations observations() {
            return mObservations;
        }
    }
}
