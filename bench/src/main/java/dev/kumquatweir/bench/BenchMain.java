package dev.kumquatweir.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Entry point of the bench. Arguments, all of them optional and in any order: {@code seconds=120
 * seed=1 user=kain-baru|tendal|both scenario=NAME policy=NAME|all}. The scenario decision-cost
 * measures the processor time of one decision instead.
 */
public final class BenchMain {
    private static final int USAGE_ERROR = 2;

    private BenchMain() {}

    /** Runs the bench from a shell and exits with its status. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out));
    }

    /**
     * Runs the bench and prints a table.
     *
     * @return 0 if no invariant was broken by the policy, 1 if one was, 2 for a wrong argument
     */
    public static int run(String[] arguments, PrintStream out) {
        BenchArguments parsed;
        try {
            parsed = BenchArguments.parse(arguments);
        } catch (IllegalArgumentException problem) {
            out.println(problem.getMessage());
            return USAGE_ERROR;
        }
        if (parsed.scenario().equals("decision-cost")) {
            DecisionCost.run(out);
            return 0;
        }
        BenchTable table = new BenchTable(out);
        out.println("seconds=" + parsed.seconds() + " seed=" + parsed.seed());
        table.header();
        int violations = 0;
        for (Deployment deployment : parsed.deployments()) {
            for (Schedule schedule : schedules(parsed, deployment)) {
                for (Contender contender : parsed.contenders()) {
                    Report report = BenchRun.run(schedule, contender);
                    table.row(report);
                    boolean own = contender.equals(Contender.KUMQUATWEIR);
                    violations += own ? report.violations() : 0;
                }
            }
        }
        return violations == 0 ? 0 : 1;
    }

    private static List<Schedule> schedules(BenchArguments parsed, Deployment deployment) {
        int seconds = parsed.seconds();
        long seed = parsed.seed();
        List<Schedule> all = new ArrayList<>();
        all.add(Schedule.steady(deployment, 0.8, seconds, seed));
        all.add(Schedule.steady(deployment, 2, seconds, seed));
        all.add(Schedule.steady(deployment, 4, seconds, seed));
        all.add(Schedule.domain(deployment, 0.8, seconds, seed));
        all.add(Schedule.faults(deployment, 0.6, seconds, seed));
        return all.stream()
                .filter(
                        schedule ->
                                parsed.scenario().isEmpty()
                                        || schedule.name().equals(parsed.scenario()))
                .toList();
    }
}
