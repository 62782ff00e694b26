package dev.kumquatweir.bench;

import dev.kumquatweir.core.configuration.Profile;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Makes the arrivals of a run from a seed. 1 in 50 prompts is longer than 100,000 tokens, 1 in 10
 * is between 8,000 and 100,000, the rest between 1,000 and 8,000. Within each range lengths follow
 * a Pareto distribution, short ones a log-uniform one. Not thread-safe.
 */
final class Workload {
    private static final double DOSSIER_SHARE = 0.02;
    private static final double SUMMARY_SHARE = 0.10;
    private static final double ACTION_SHARE = 0.08;
    private static final double PARETO_EXPONENT = 1.5;
    private static final double ASKED_AGAIN_SHARE = 0.3;
    private static final double SMALL_TEAM_SHARE = 0.05;
    private static final double[] LARGE_TEAM_SHARES = {0.30, 0.20, 0.15};
    private static final int TEMPLATES = 4;
    private static final int SAMPLE = 20_000;

    private final Deployment mDeployment;
    private final SplittableRandom mRandom;
    private final List<Arrival> mDocuments = new ArrayList<>();
    private int mNext;

    private Workload(Deployment deployment, long seed) {
        mDeployment = deployment;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Returns the arrivals of a run.
     *
     * @param load offered work as a multiple of what the engines can process
     */
    static List<Arrival> make(Deployment deployment, double load, long nanos, long seed) {
        double rate = load * capacityPerSecond(deployment);
        Workload workload = new Workload(deployment, seed);
        List<Arrival> arrivals = new ArrayList<>();
        double at = 0;
        while (true) {
            at += -Math.log(1 - workload.mRandom.nextDouble()) / rate;
            long atNanos = (long) (at * TimeUnit.SECONDS.toNanos(1));
            if (atNanos >= nanos) {
                return arrivals;
            }
            arrivals.add(workload.arrival(atNanos));
        }
    }

    /**
     * Returns the requests per second that keep all engines busy with full chunks and warm caches.
     */
    static double capacityPerSecond(Deployment deployment) {
        Workload workload = new Workload(deployment, 1);
        double nanos = 0;
        for (int count = 0; count < SAMPLE; count++) {
            Arrival arrival = workload.arrival(0);
            if (arrival.model() != null) {
                nanos +=
                        EngineConstants.idlePrefillNanos(
                                        arrival.promptTokens(), arrival.sharedTokens())
                                + arrival.outputTokens() * EngineConstants.SEQUENCE_NANOS;
            }
        }
        return deployment.engines() * (double) SAMPLE * TimeUnit.SECONDS.toNanos(1) / nanos;
    }

    private Arrival arrival(long atNanos) {
        int id = mNext++;
        int instance = mRandom.nextInt(Deployment.INSTANCES);
        int team = team();
        double kind = mRandom.nextDouble();
        if (kind < DOSSIER_SHARE) {
            return document(id, atNanos, instance, team, mDeployment.dossierProfile());
        }
        if (kind < DOSSIER_SHARE + SUMMARY_SHARE) {
            return document(id, atNanos, instance, team, mDeployment.summaryProfile());
        }
        if (kind < DOSSIER_SHARE + SUMMARY_SHARE + ACTION_SHARE) {
            return action(id, atNanos, instance, team);
        }
        return question(id, atNanos, instance, team);
    }

    private Arrival question(int id, long atNanos, int instance, int team) {
        long prompt = (long) (1_000 * Math.pow(8, mRandom.nextDouble()));
        int template = mRandom.nextInt(TEMPLATES);
        long templateTokens = (2L + 2L * template) * EngineConstants.BLOCK_TOKENS;
        long shared = Math.min(templateTokens, prompt / EngineConstants.BLOCK_TOKENS * 256);
        long templateSeed = 1_000_000L * (team + 1) + template;
        return new Arrival(
                id,
                atNanos,
                instance,
                mDeployment.teams().get(team).name(),
                mDeployment.shortProfile(),
                Deployment.MODEL,
                prompt,
                shared,
                400,
                output(16, 400, 120),
                hashes(prompt, shared, templateSeed, id));
    }

    private Arrival document(int id, long atNanos, int instance, int team, Profile profile) {
        boolean dossier = profile.equals(mDeployment.dossierProfile());
        List<Arrival> earlier =
                mDocuments.stream().filter(document -> document.profile().equals(profile)).toList();
        boolean again = !earlier.isEmpty() && mRandom.nextDouble() < ASKED_AGAIN_SHARE;
        long prompt = dossier ? pareto(100_000, 1_000_000) : pareto(8_000, 100_000);
        long shared = 0;
        List<Long> hashes = hashes(prompt, 0, 0, id);
        if (again) {
            Arrival document = earlier.get(mRandom.nextInt(earlier.size()));
            prompt = document.promptTokens();
            shared = prompt * 95 / 100 / EngineConstants.BLOCK_TOKENS * 256;
            List<Long> own = hashes(prompt, 0, 0, id);
            int blocks = (int) (shared / EngineConstants.BLOCK_TOKENS);
            List<Long> joined = new ArrayList<>(document.prefixHashes().subList(0, blocks));
            joined.addAll(own.subList(blocks, own.size()));
            hashes = joined;
        }
        long maximum = dossier ? 1_500 : 800;
        Arrival arrival =
                new Arrival(
                        id,
                        atNanos,
                        instance,
                        mDeployment.teams().get(team).name(),
                        profile,
                        Deployment.MODEL,
                        prompt,
                        shared,
                        maximum,
                        output(64, maximum, dossier ? 500 : 250),
                        List.copyOf(hashes));
        if (!again) {
            mDocuments.add(arrival);
            if (mDocuments.size() > 40) {
                mDocuments.removeFirst();
            }
        }
        return arrival;
    }

    private Arrival action(int id, long atNanos, int instance, int team) {
        return new Arrival(
                id,
                atNanos,
                instance,
                mDeployment.teams().get(team).name(),
                mDeployment.actionProfile(),
                null,
                0,
                0,
                0,
                50 + mRandom.nextInt(250),
                List.of());
    }

    private int team() {
        double draw = mRandom.nextDouble();
        for (int team = 0; team < LARGE_TEAM_SHARES.length; team++) {
            draw -= LARGE_TEAM_SHARES[team];
            if (draw < 0) {
                return team;
            }
        }
        int small = LARGE_TEAM_SHARES.length + (int) (draw / SMALL_TEAM_SHARE);
        return Math.min(small, mDeployment.teams().size() - 1);
    }

    private long output(long least, long most, long median) {
        double length = median * Math.exp(0.6 * mRandom.nextGaussian());
        return Math.clamp((long) length, least, most);
    }

    private long pareto(long least, long most) {
        double low = Math.pow((double) least, -PARETO_EXPONENT);
        double high = Math.pow((double) most, -PARETO_EXPONENT);
        double draw = low - mRandom.nextDouble() * (low - high);
        return (long) Math.pow(draw, -1 / PARETO_EXPONENT);
    }

    private static List<Long> hashes(long prompt, long shared, long sharedSeed, long ownSeed) {
        int blocks = (int) (prompt / EngineConstants.BLOCK_TOKENS);
        List<Long> hashes = new ArrayList<>(blocks);
        for (int block = 0; block < blocks; block++) {
            boolean common = (block + 1L) * EngineConstants.BLOCK_TOKENS <= shared;
            long seed = common ? sharedSeed : ~ownSeed;
            hashes.add(new SplittableRandom(seed * 1_000_003L + block).nextLong());
        }
        return List.copyOf(hashes);
    }
}
