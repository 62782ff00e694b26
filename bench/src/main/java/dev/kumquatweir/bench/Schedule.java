package dev.kumquatweir.bench;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Arrivals and faults of one run, the same for every policy. Immutable.
 *
 * @param name name of the scenario
 * @param deployment the machines
 * @param load offered work as a multiple of capacity
 * @param nanos time in which requests arrive
 * @param seed seed of the arrivals and of all random choices
 * @param faults planned events
 */
record Schedule(
        String name,
        Deployment deployment,
        double load,
        long nanos,
        long seed,
        List<Fault> faults) {

    /** Time from the death of an upstream to its next start. */
    static final long RESTART_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time for which an engine is cold. */
    static final long COLD_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Time within which every instance knows that a failure domain is out. */
    static final long DOMAIN_OUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Requests arrive at a constant rate and nothing fails. */
    static Schedule steady(Deployment deployment, double load, int seconds, long seed) {
        String name = "load " + load;
        return of(name, deployment, load, seconds, seed, List.of());
    }

    /** A failure domain leaves after a quarter of the time and returns after three quarters. */
    static Schedule domain(Deployment deployment, double load, int seconds, long seed) {
        long nanos = TimeUnit.SECONDS.toNanos(seconds);
        return of(
                "domain",
                deployment,
                load,
                seconds,
                seed,
                List.of(new Fault.DomainOut(nanos / 4, 0), new Fault.DomainsIn(nanos * 3 / 4)));
    }

    /** Engines die, become cold, freeze and go silent, and a plain worker dies. */
    static Schedule faults(Deployment deployment, double load, int seconds, long seed) {
        long tenth = TimeUnit.SECONDS.toNanos(seconds) / 10;
        return of(
                "faults",
                deployment,
                load,
                seconds,
                seed,
                List.of(
                        new Fault.Death(tenth, 1),
                        new Fault.ColdAgain(2 * tenth, 2),
                        new Fault.Freeze(3 * tenth, 3, TimeUnit.SECONDS.toNanos(6)),
                        new Fault.Silence(4 * tenth, 4, 0),
                        new Fault.Death(5 * tenth, deployment.engines()),
                        new Fault.Death(6 * tenth, 5),
                        new Fault.Death(6 * tenth, 6),
                        new Fault.ColdAgain(7 * tenth, 7)));
    }

    private static Schedule of(
            String name,
            Deployment deployment,
            double load,
            int seconds,
            long seed,
            List<Fault> faults) {
        long nanos = TimeUnit.SECONDS.toNanos(seconds);
        return new Schedule(name, deployment, load, nanos, seed, faults);
    }
}
