package dev.kumquatweir.program.command;

import dev.kumquatweir.core.configuration.CallerDisconnectPolicy;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.ServiceLevelObjective;
import dev.kumquatweir.core.configuration.Team;
import dev.kumquatweir.core.identity.TeamName;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Says in words what a profile does, and what it would do with a request. Pure: it looks at the
 * configuration and the engines' memory, not at what is queued.
 */
final class ProfileExplanation {
    private static final long MILLIS_IN_SECOND = 1_000;

    private ProfileExplanation() {}

    /**
     * What the engines of a profile's service have.
     *
     * @param engines engines that serve now
     * @param largestMemoryTokens memory of the largest of them
     */
    record Engines(int engines, long largestMemoryTokens) {}

    /** Returns the profile in sentences. */
    static List<String> describe(Profile profile) {
        List<String> lines = new ArrayList<>();
        lines.add(
                "Profile %s serves work of class %s on the upstreams of service %s."
                        .formatted(
                                profile.name(),
                                profile.requestClass().name().toLowerCase(Locale.ROOT),
                                profile.service()));
        lines.add(
                "A request completes or fails within %d s of its admission; one that can't is"
                                .formatted(profile.timeLimitMillis() / MILLIS_IN_SECOND)
                        + " refused at once and has not run.");
        lines.add("Its priority is %d, from 0 to 9 (most urgent).".formatted(profile.priority()));
        lines.add(
                profile.models().isEmpty()
                        ? "No model name selects it; requests select it by header or as default."
                        : "Requests that name one of %s select it.".formatted(profile.models()));
        lines.add(
                profile.repeatable()
                        ? "A request may be run again on another upstream after a fault."
                        : "A request is executed at most once and needs an Idempotency-Key.");
        lines.add(
                profile.callerDisconnect() == CallerDisconnectPolicy.CANCEL
                        ? "When the caller closes its connection, the work is cancelled."
                        : "When the caller closes its connection, the work is finished.");
        lines.add(
                "One team gets at most %s of the service while others wait."
                        .formatted(percent(profile.teamShare())));
        lines.add(objective(profile.objective()));
        return List.copyOf(lines);
    }

    /** Returns what would happen to a request, in sentences. */
    static List<String> request(
            ConfigurationDocument document,
            Profile profile,
            Engines engines,
            OptionalLong promptTokens,
            Optional<TeamName> team) {
        List<String> lines = new ArrayList<>();
        team.ifPresent(name -> lines.add(team(document, profile, name)));
        promptTokens.ifPresent(tokens -> lines.add(prompt(profile, engines, tokens)));
        return List.copyOf(lines);
    }

    private static String team(ConfigurationDocument document, Profile profile, TeamName name) {
        Team team = document.teams().get(name);
        if (team == null) {
            return "There is no team %s; its requests are refused.".formatted(name);
        }
        boolean standard = team.defaultProfile().equals(profile.name());
        return "Team %s has weight %d; its requests %s."
                .formatted(
                        name,
                        team.weight(),
                        standard
                                ? "get this profile by default"
                                : "need the header Kumquatweir-Profile: "
                                        + profile.name()
                                        + " or a model name to get it (default: "
                                        + team.defaultProfile()
                                        + ")");
    }

    private static String prompt(Profile profile, Engines engines, long tokens) {
        if (engines.engines() == 0) {
            return "No engine of service %s serves now: the request is refused as not run."
                    .formatted(profile.service());
        }
        long memory = engines.largestMemoryTokens();
        if (tokens <= memory) {
            return "A prompt of %d tokens fits one engine (the largest of %d holds %d tokens)."
                    .formatted(tokens, engines.engines(), memory);
        }
        if (profile.oversize() == OversizePolicy.REFUSE) {
            return "A prompt of %d tokens exceeds one engine (%d tokens): it is refused as not run."
                    .formatted(tokens, memory);
        }
        long needed = (tokens + memory - 1) / memory;
        return "A prompt of %d tokens exceeds one engine (%d tokens): it needs %d engines together,"
                        .formatted(tokens, memory, needed)
                + " and %d serve now.".formatted(engines.engines());
    }

    private static String objective(ServiceLevelObjective objective) {
        String inTime =
                "Its objective: %s finish in time".formatted(percent(objective.inTimeShare()));
        return objective.firstTokenMillis() == 0
                ? inTime + "."
                : inTime
                        + ", and %s get their first token within %d ms."
                                .formatted(
                                        percent(objective.firstTokenShare()),
                                        objective.firstTokenMillis());
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.4g%%", share * 100).replaceAll("\\.?0+%", "%");
    }
}
