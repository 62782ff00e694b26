package dev.kumquatweir.bench;

import dev.kumquatweir.core.configuration.ApiKeyHash;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.configuration.ServiceRoute;
import dev.kumquatweir.core.configuration.Team;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * One user's machines, profiles and teams. Immutable.
 *
 * @param name short name
 * @param domains failure domains
 * @param engines number of engines
 * @param services number of workers of the plain service
 * @param engineService service of the engines
 * @param plainService the plain service
 * @param crossDomainNanos time of a message between two failure domains
 * @param callerNanos time of a message between a caller and an instance
 * @param shortProfile profile of short questions
 * @param summaryProfile profile of prompts of middle length
 * @param dossierProfile profile of the longest prompts
 * @param actionProfile profile of calls that may not be repeated
 * @param teams the teams
 */
record Deployment(
        String name,
        List<FailureDomain> domains,
        int engines,
        int services,
        ServiceName engineService,
        ServiceName plainService,
        long crossDomainNanos,
        long callerNanos,
        Profile shortProfile,
        Profile summaryProfile,
        Profile dossierProfile,
        Profile actionProfile,
        List<Team> teams) {

    /** Instances of the system. */
    static final int INSTANCES = 4;

    /** Time of a message within a failure domain. */
    static final long SAME_DOMAIN_NANOS = 150_000;

    /** The one model. */
    static final ModelName MODEL = new ModelName("general");

    private static final int SERVICE_WORKERS = 8;
    private static final long SUMMARY_LIMIT_MILLIS = 120_000;

    /** Shorter than the 30 minutes of the profiles' default, so that overload shows in a run. */
    private static final long DOSSIER_LIMIT_MILLIS = 600_000;

    /** Returns the deployment of Kain Baru Upholstery Quotes. */
    static Deployment kainBaru() {
        return of("kain-baru", "klang", 15, "quote-llm", "bookings", 300_000, 3_000_000);
    }

    /** Returns the deployment of Algas Tendidas Software. */
    static Deployment tendal() {
        String engines = "kumquatweir-tendal";
        return of("tendal", "costa-baja", 20, engines, "tendal-app", 1_000_000, 1_000_000);
    }

    private static Deployment of(
            String name,
            String domain,
            int engines,
            String engineService,
            String plainService,
            long crossDomainNanos,
            long callerNanos) {
        ServiceName engineName = new ServiceName(engineService);
        ServiceName plainName = new ServiceName(plainService);
        Profile question =
                Profile.builder(new ProfileName("question"), engineName, RequestClass.SHORT)
                        .models(Set.of(MODEL))
                        .build();
        Profile summary =
                Profile.builder(new ProfileName("summary"), engineName, RequestClass.LONG)
                        .models(Set.of(MODEL))
                        .priority(4)
                        .timeLimitMillis(SUMMARY_LIMIT_MILLIS)
                        .build();
        Profile dossier =
                Profile.builder(new ProfileName("dossier"), engineName, RequestClass.LONG)
                        .models(Set.of(MODEL))
                        .timeLimitMillis(DOSSIER_LIMIT_MILLIS)
                        .oversize(OversizePolicy.SPLIT)
                        .build();
        Profile action =
                Profile.builder(new ProfileName("action"), plainName, RequestClass.ACTION).build();
        return new Deployment(
                name,
                IntStream.range(0, 3)
                        .mapToObj(place -> new FailureDomain(domain + "-" + "abc".charAt(place)))
                        .toList(),
                engines,
                3,
                engineName,
                plainName,
                crossDomainNanos,
                callerNanos,
                question,
                summary,
                dossier,
                action,
                IntStream.range(0, 10).mapToObj(Deployment::team).toList());
    }

    private static Team team(int number) {
        return new Team(
                new TeamName("team-" + number),
                new ApiKeyHash("00", "00"),
                new ProfileName("question"),
                number < 3 ? 2 : 1);
    }

    /** Returns the configuration with everything in service. */
    ConfigurationDocument document() {
        return ConfigurationDocument.of(
                List.of(shortProfile, summaryProfile, dossierProfile, actionProfile),
                teams,
                List.of(
                        new ServiceRoute(
                                engineService, UpstreamKind.ENGINE, shortProfile.name(), List.of()),
                        new ServiceRoute(
                                plainService,
                                UpstreamKind.SERVICE,
                                actionProfile.name(),
                                List.of())));
    }

    /** Returns the failure domain of an instance. */
    FailureDomain instanceDomain(int instance) {
        return domains.get(instance % domains.size());
    }

    /** Returns the first announcements of all upstreams, engines first. */
    List<Announcement> announcements() {
        List<Announcement> all = new ArrayList<>();
        for (int number = 0; number < engines + services; number++) {
            boolean engine = number < engines;
            all.add(
                    new Announcement(
                            new UpstreamId((engine ? "engine-" : "worker-") + number),
                            1,
                            "127.0.0.1:" + (1024 + number),
                            domains.get(number % domains.size()),
                            engine ? UpstreamKind.ENGINE : UpstreamKind.SERVICE,
                            engine ? engineService : plainService,
                            engine ? Set.of(MODEL) : Set.of(),
                            engine ? EngineConstants.MEMORY_TOKENS : 0,
                            UpstreamRole.MIXED,
                            true,
                            false,
                            new ColdLimit(
                                    EngineConstants.COLD_REQUESTS,
                                    EngineConstants.COLD_PREFILL_TOKENS),
                            engine ? EngineConstants.MAXIMUM_RUNNING : SERVICE_WORKERS));
        }
        return all;
    }
}
