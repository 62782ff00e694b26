package dev.kumquatweir.policy.permit;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class WeightLoadRateLimiterTest {
    private static final PermitResource LOADS = new PermitResource.WeightStoreLoads();
    private static final double PER_SECOND = 2;
    private static final int BURST = 3;

    /** Guards against more loads than the weight store's rate when the leader changes. */
    @Property(seed = "2612", tries = 100)
    void startsNoMoreLoadsThanTheRateInAnyWindow(@ForAll long seed) {
        Random random = new Random(seed);
        long nowNanos = 0;
        PermitLedger leader = ledger(nowNanos);
        PermitHolder holder = new PermitHolder(new InstanceId("a"), 1);
        List<String> names = new ArrayList<>();
        List<Long> starts = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            nowNanos += (50 + random.nextInt(200)) * MILLI;
            if (random.nextInt(80) == 0) {
                leader = ledger(nowNanos);
            }
            if (names.size() < 8) {
                names.add("load-" + step);
            }
            for (String name : names) {
                holder.claim(name, List.of(new PermitPart(LOADS, 0, 1)));
            }
            PermitDecision decision = leader.renew(holder.nextRequest(nowNanos), nowNanos);
            if (decision instanceof PermitDecision.Answer answer && random.nextInt(5) > 0) {
                holder.acceptGrant(answer.grant(), nowNanos);
            }
            for (String name : List.copyOf(names)) {
                if (random.nextInt(3) == 0 && holder.tryUse(name, nowNanos)) {
                    starts.add(nowNanos);
                    names.remove(name);
                    holder.release(name);
                }
            }
        }
        assertThat(starts.size(), greaterThan(20));
        for (int first = 0; first < starts.size(); first++) {
            for (int last = first; last < starts.size(); last++) {
                long window = starts.get(last) - starts.get(first) + PermitLedger.LEASE_NANOS;
                double allowed = BURST + window / (double) SECOND * PER_SECOND;
                assertThat((double) (last - first + 1), lessThanOrEqualTo(allowed + 1e-6));
            }
        }
    }

    private static PermitLedger ledger(long nowNanos) {
        return new PermitLedger(new WeightLoadRateLimiter(PER_SECOND, BURST, nowNanos), nowNanos);
    }
}
