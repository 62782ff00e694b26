package dev.kumquatweir.policy.quarantine;

import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class QuarantineMarkTest {
    /**
     * Guards against instances that never converge because they received the same marks in
     * different orders.
     */
    @Property(seed = "2605", tries = 300)
    void mergesInAnyOrderAndAnyNumberOfTimes(@ForAll long seed) {
        Random random = new Random(seed);
        QuarantineMark first = mark(random);
        QuarantineMark second = mark(random);
        QuarantineMark third = mark(random);
        assertThat(first.merge(second), is(second.merge(first)));
        assertThat(first.merge(second).merge(third), is(first.merge(second.merge(third))));
        assertThat(first.merge(second).merge(second), is(first.merge(second)));
        assertThat(first.merge(first), is(first));
        QuarantineMark merged = first.merge(second);
        first.suspicions()
                .forEach(
                        (death, blame) -> {
                            QuarantineMark.Suspicion result = merged.suspicions().get(death);
                            boolean prolonged =
                                    result != null
                                            && result.state() == blame.state()
                                            && result.remainingNanos() > blame.remainingNanos();
                            assertThat(prolonged, is(false));
                        });
    }

    /** Guards against marks that never expire because instances relay them to each other. */
    @Property(seed = "2606", tries = 100)
    void expiresAlthoughInstancesRepeatMarks(
            @ForAll long seed, @ForAll @LongRange(min = 0, max = 4) long delaySeconds) {
        Random random = new Random(seed);
        List<Quarantine> instances = new ArrayList<>();
        for (int instance = 0; instance < 4; instance++) {
            instances.add(Quarantine.builder().marks(100, 60 * SECOND).build());
        }
        for (int death = 0; death < 2; death++) {
            UpstreamIncarnation place =
                    new UpstreamIncarnation(new UpstreamId("engine-" + death), 1);
            FailureDomain domain = new FailureDomain("klang-" + death);
            instances.get(0).attemptStarted(new AttemptId("a:1:" + death), "poison", place, domain);
            instances.get(0).upstreamTerminated(place, domain, 0);
        }
        int refusals = 0;
        for (long second = 0; second < 80; second++) {
            long now = second * SECOND;
            for (int message = 0; message < 6; message++) {
                Quarantine from = instances.get(random.nextInt(4));
                Quarantine to = instances.get(random.nextInt(4));
                from.marks(now).forEach(mark -> to.mergeRemote(mark, now + delaySeconds * SECOND));
            }
            for (Quarantine instance : instances) {
                instance.expire(now);
                QuarantineDecision decision = instance.decide("poison", 15, now);
                boolean refused =
                        new RequestFailure.Quarantined(2, Executed.NO).equals(failure(decision));
                refusals += refused ? 1 : 0;
                assertThat("expired after " + second + " s", refused && second > 70, is(false));
            }
        }
        assertThat(refusals, greaterThan(100));
    }

    private static Object failure(QuarantineDecision decision) {
        return decision instanceof QuarantineDecision.Refuse refuse ? refuse.failure() : decision;
    }

    private static QuarantineMark mark(Random random) {
        Map<UpstreamIncarnation, QuarantineMark.Suspicion> deaths = new HashMap<>();
        for (int death = random.nextInt(5); death > 0; death--) {
            SuspicionState[] states = SuspicionState.values();
            deaths.put(
                    new UpstreamIncarnation(
                            new UpstreamId("engine-" + random.nextInt(3)), random.nextInt(2)),
                    new QuarantineMark.Suspicion(
                            states[random.nextInt(states.length)], random.nextInt(4)));
        }
        return new QuarantineMark("hash", deaths);
    }
}
