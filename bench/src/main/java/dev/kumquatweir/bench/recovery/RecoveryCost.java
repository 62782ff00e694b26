package dev.kumquatweir.bench.recovery;

import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.memory.EngineListing;
import dev.kumquatweir.policy.memory.InstanceDirectory;
import dev.kumquatweir.policy.memory.MemoryLedger;
import dev.kumquatweir.policy.permit.PermitDecision;
import dev.kumquatweir.policy.permit.PermitHolder;
import dev.kumquatweir.policy.permit.PermitLedger;
import dev.kumquatweir.policy.permit.PermitPart;
import dev.kumquatweir.policy.permit.PermitResource;
import dev.kumquatweir.policy.permit.WeightLoadRateLimiter;
import dev.kumquatweir.policy.retry.AttemptEnd;
import dev.kumquatweir.policy.retry.RetryBudget;
import dev.kumquatweir.policy.retry.RetryPolicy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/**
 * Prints what single decisions of the recovery policy cost: the median of several rounds after a
 * warm-up, one line for each case. Inputs are fixed; no threads, no I/O but the output.
 */
public final class RecoveryCost {
    private static final int WARM_UP_ROUNDS = 5;
    private static final int ROUNDS = 9;
    private static final long RENEWAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final int LISTED_ATTEMPTS = 32;
    private static final int OWN_ATTEMPTS = 8;

    private RecoveryCost() {}

    /** Runs all cases; takes no arguments. */
    public static void main(String[] arguments) {
        retry(1);
        retry(4);
        for (int holders : new int[] {4, 24, 120, 360}) {
            renewals(holders, "spread", Math.max(2, holders / 2), 4);
            renewals(holders, "one-upstream", 1, 2);
        }
        for (int upstreams : new int[] {20, 240, 2_400}) {
            reconciliation(upstreams);
        }
    }

    private static void retry(int ends) {
        RetryBudget budget = RetryBudget.builder().capacity(1e15).refillPerSecond(1e9).build(0);
        RetryPolicy policy = RetryPolicy.builder().maximumBrokenAttempts(9).build(budget);
        List<AttemptEnd> history = new ArrayList<>();
        for (int end = 0; end < ends; end++) {
            history.add(
                    new AttemptEnd.MayHaveRun(
                            new UpstreamId("engine-" + end),
                            new FailureDomain("domain-" + end % 3),
                            AttemptEvent.BreakCause.CONNECTION_LOST,
                            0));
        }
        WorkRequest request = request();
        measure(
                "retry ends=" + ends,
                200_000,
                step -> policy.decide(request, history, step, 1_000, step).hashCode());
    }

    /** Each holder renews two claims; those without a permit wait for one. */
    private static void renewals(int holders, String name, int upstreams, int limit) {
        PermitLedger ledger = new PermitLedger(new WeightLoadRateLimiter(1, 1, 0), 0);
        for (int upstream = 0; upstream < upstreams; upstream++) {
            UpstreamId id = new UpstreamId("engine-" + upstream);
            ledger.setLimit(new PermitResource.ColdRequests(id), 1, limit);
            ledger.setLimit(new PermitResource.ColdPrefill(id), 1, limit * 10_000L);
        }
        List<PermitHolder> all = new ArrayList<>();
        for (int holder = 0; holder < holders; holder++) {
            PermitHolder made = new PermitHolder(new InstanceId("instance-" + holder), 1);
            for (int claim = 0; claim < 2; claim++) {
                UpstreamId id = new UpstreamId("engine-" + (holder * 2 + claim) % upstreams);
                made.claim(
                        "instance-" + holder + ":1:" + claim,
                        List.of(
                                new PermitPart(new PermitResource.ColdRequests(id), 1, 1),
                                new PermitPart(new PermitResource.ColdPrefill(id), 1, 10_000)));
            }
            all.add(made);
        }
        long[] now = {PermitLedger.LEASE_NANOS};
        double nanos =
                measure(
                        "permit-renewal case=" + name + " holders=" + holders,
                        Math.max(40_000, holders * 100),
                        step -> {
                            PermitHolder holder = all.get((int) (step % holders));
                            now[0] += RENEWAL_NANOS / holders;
                            return renew(ledger, holder, now[0]);
                        });
        double share = nanos * holders / RENEWAL_NANOS * 100;
        print("  all holders each 300 ms: %.3f%% of a core (request, decision, answer)", share);
    }

    private static long renew(PermitLedger ledger, PermitHolder holder, long nowNanos) {
        PermitDecision decision = ledger.renew(holder.nextRequest(nowNanos), nowNanos);
        if (decision instanceof PermitDecision.Answer answer) {
            holder.acceptGrant(answer.grant(), nowNanos);
            // Work starts at once, so that no permit is given back as idle.
            answer.grant().granted().forEach(name -> holder.tryUse(name, nowNanos));
        }
        return decision.hashCode();
    }

    private static void reconciliation(int upstreams) {
        InstanceId self = new InstanceId("instance-0");
        InstanceDirectory directory = new InstanceDirectory();
        MemoryLedger ledger = MemoryLedger.builder(self, 1, directory).build();
        AttemptIds own = new AttemptIds(self, 1);
        AttemptIds other = new AttemptIds(new InstanceId("instance-1"), 1);
        directory.recordContact(new InstanceId("instance-1"), 1, 0);
        List<EngineListing> listings = new ArrayList<>();
        for (int number = 0; number < upstreams; number++) {
            UpstreamId engine = new UpstreamId("engine-" + number);
            ledger.updateEngine(engine, 1, 1_000_000);
            List<EngineListing.HeldAttempt> held = new ArrayList<>();
            List<EngineListing.HeldExport> exports = new ArrayList<>();
            for (int attempt = 0; attempt < LISTED_ATTEMPTS; attempt++) {
                AttemptId id = attempt < OWN_ATTEMPTS ? own.next() : other.next();
                held.add(new EngineListing.HeldAttempt(id, 1_000));
                if (attempt < OWN_ATTEMPTS) {
                    ledger.reserve(engine, id, 1_000, 0);
                }
                if (attempt < 2) {
                    exports.add(new EngineListing.HeldExport(id.value() + "/kv", 1_000));
                    ledger.recordExport(engine, id.value() + "/kv", id);
                }
            }
            listings.add(new EngineListing(engine, 1, held, exports));
        }
        double nanos =
                measure(
                        "reconcile upstreams=" + upstreams,
                        Math.max(10_000, upstreams * 4),
                        step -> {
                            EngineListing listing = listings.get((int) (step % upstreams));
                            return ledger.reconcile(listing, 1_000, 1_000).size();
                        });
        print("  sweep over all upstreams: %.3f ms", nanos * upstreams / 1e6);
    }

    private static double measure(String name, int calls, LongUnaryOperator call) {
        double[] rounds = new double[ROUNDS];
        long sum = 0;
        long step = 0;
        for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
            long start = System.nanoTime();
            for (int number = 0; number < calls; number++) {
                sum += call.applyAsLong(step++);
            }
            if (round >= 0) {
                rounds[round] = (System.nanoTime() - start) / (double) calls;
            }
        }
        Arrays.sort(rounds);
        double median = rounds[ROUNDS / 2];
        print(
                "%s median=%.0f ns min=%.0f ns max=%.0f ns (check %d)",
                name, median, rounds[0], rounds[ROUNDS - 1], sum & 0xff);
        return median;
    }

    private static void print(String format, Object... values) {
        System.out.printf(format + "%n", values);
    }

    private static WorkRequest request() {
        Profile profile =
                Profile.builder(
                                new ProfileName("quick"),
                                new ServiceName("quote-llm"),
                                RequestClass.SHORT)
                        .build();
        return new WorkRequest(
                new RequestId("request-1"),
                new TeamName("team-1"),
                profile,
                new ModelName("quote"),
                1_000,
                100,
                List.of(),
                "hash",
                true,
                0,
                TimeUnit.SECONDS.toNanos(30));
    }
}
