package dev.kumquatweir.bench;

import java.util.ArrayList;
import java.util.List;

/**
 * Parsed arguments of the bench. Immutable.
 *
 * @param seconds virtual time in which requests arrive
 * @param seed seed of all random choices
 * @param deployments users
 * @param scenario name of the only scenario, empty for all
 * @param contenders policies
 */
record BenchArguments(
        int seconds,
        long seed,
        List<Deployment> deployments,
        String scenario,
        List<Contender> contenders) {

    private static final int DEFAULT_SECONDS = 120;

    /** Parses arguments of the form key=value; throws IllegalArgumentException on another. */
    static BenchArguments parse(String[] arguments) {
        int seconds = DEFAULT_SECONDS;
        long seed = 1;
        String user = "both";
        String scenario = "";
        String policy = "all";
        for (String argument : arguments) {
            int equals = argument.indexOf('=');
            String key = equals < 0 ? argument : argument.substring(0, equals);
            String value = equals < 0 ? "" : argument.substring(equals + 1);
            switch (key) {
                case "seconds" -> seconds = Integer.parseInt(value);
                case "seed" -> seed = Long.parseLong(value);
                case "user" -> user = value;
                case "scenario" -> scenario = value;
                case "policy" -> policy = value;
                default -> throw new IllegalArgumentException("unknown argument: " + argument);
            }
        }
        return new BenchArguments(seconds, seed, deployments(user), scenario, contenders(policy));
    }

    private static List<Deployment> deployments(String user) {
        return switch (user) {
            case "kain-baru" -> List.of(Deployment.kainBaru());
            case "tendal" -> List.of(Deployment.tendal());
            case "both" -> List.of(Deployment.kainBaru(), Deployment.tendal());
            default -> throw new IllegalArgumentException("unknown user: " + user);
        };
    }

    private static List<Contender> contenders(String policy) {
        List<Contender> all = new ArrayList<>();
        all.add(Contender.KUMQUATWEIR);
        all.add(Contender.PRIORITY_ONLY);
        all.add(Contender.RESERVED_SHARE);
        all.addAll(Contender.BASELINES);
        all.add(Contender.IDEAL);
        List<Contender> chosen =
                all.stream()
                        .filter(one -> policy.equals("all") || policy.equals(one.name()))
                        .toList();
        if (chosen.isEmpty()) {
            throw new IllegalArgumentException("unknown policy: " + policy);
        }
        return chosen;
    }
}
