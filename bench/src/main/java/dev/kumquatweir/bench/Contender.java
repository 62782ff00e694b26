package dev.kumquatweir.bench;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.policy.dispatch.Dispatcher;
import dev.kumquatweir.policy.dispatch.PolicyDispatcher;
import dev.kumquatweir.policy.dispatch.QuarantinedRecovery;
import dev.kumquatweir.policy.dispatch.RecoveryPolicy;
import dev.kumquatweir.policy.dispatch.SimpleRecovery;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.quarantine.Quarantine;
import dev.kumquatweir.policy.routing.LengthStrategy;
import dev.kumquatweir.policy.routing.LocalColdAllowance;
import dev.kumquatweir.policy.routing.RoutingOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * A policy that is measured. Immutable.
 *
 * @param name name in the table
 * @param makeAll makes one dispatcher for each instance of a run
 */
record Contender(String name, Function<Setting, List<Dispatcher>> makeAll) {
    /**
     * The run for which dispatchers are made.
     *
     * @param world the machines
     * @param seed seed of random choices
     */
    record Setting(World world, long seed) {}

    /** The policy with its defaults. */
    static final Contender KUMQUATWEIR = policy("kumquatweir", options -> options);

    /** The policy without lanes. */
    static final Contender PRIORITY_ONLY =
            policy("priority-only", with(new LengthStrategy.PriorityOnly()));

    /** The policy with a share of engines for short prompts. */
    static final Contender RESERVED_SHARE =
            policy("reserved-share", with(new LengthStrategy.ReservedShare(0.46)));

    /** Each upstream in turn. */
    static final Contender ROUND_ROBIN = baseline(Baseline.ROUND_ROBIN);

    /** The upstream with the fewest requests of the instance. */
    static final Contender LEAST_OUTSTANDING = baseline(Baseline.LEAST_OUTSTANDING);

    /** The upstream with the fewest requests by its report and own ones since. */
    static final Contender SHORTEST_QUEUE = baseline(Baseline.SHORTEST_QUEUE);

    /** The upstream that the first block of the prompt hashes to. */
    static final Contender PREFIX_HASH = baseline(Baseline.PREFIX_HASH);

    /** One queue with complete and immediate knowledge. */
    static final Contender IDEAL =
            new Contender("ideal", setting -> new IdealScheduler(setting.world()).dispatchers());

    /** All baselines. */
    static final List<Contender> BASELINES =
            List.of(ROUND_ROBIN, LEAST_OUTSTANDING, SHORTEST_QUEUE, PREFIX_HASH);

    /** Makes a variant of the policy. */
    static Contender policy(String name, UnaryOperator<RoutingOptions> change) {
        return new Contender(
                name,
                setting -> {
                    List<Dispatcher> dispatchers = new ArrayList<>();
                    for (int instance = 0; instance < Deployment.INSTANCES; instance++) {
                        FailureDomain domain =
                                setting.world().deployment().instanceDomain(instance);
                        RoutingOptions options =
                                RoutingOptions.of(domain, setting.seed() * 31 + instance);
                        dispatchers.add(
                                PolicyDispatcher.builder(
                                                new AttemptIds(new InstanceId("i" + instance), 1),
                                                change.apply(options))
                                        .coldAllowance(
                                                new LocalColdAllowance(
                                                        Deployment.INSTANCES, instance))
                                        .recovery(recovery("i" + instance))
                                        .build());
                    }
                    return dispatchers;
                });
    }

    /** Returns a change to another strategy. */
    static UnaryOperator<RoutingOptions> with(LengthStrategy strategy) {
        return options -> options.withStrategy(strategy);
    }

    /** As in the daemon, but instances hear nothing of each other's marks. */
    private static RecoveryPolicy recovery(String instance) {
        return new QuarantinedRecovery(
                new SimpleRecovery(), Quarantine.builder().owner(instance).build());
    }

    private static Contender baseline(Baseline rule) {
        return new Contender(
                rule.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                setting -> {
                    List<Dispatcher> dispatchers = new ArrayList<>();
                    for (int instance = 0; instance < Deployment.INSTANCES; instance++) {
                        dispatchers.add(new BaselineDispatcher("i" + instance, rule));
                    }
                    return dispatchers;
                });
    }
}
