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
 * Describes in plain sentences what a profile does and how it would treat a request. Considers the
 * configuration and the KV cache memory of the engines, but not the current load. Stateless.
 */
final class ProfileExplanation {
    private static final long MILLIS_IN_SECOND = 1_000;

    private ProfileExplanation() {}

    /**
     * The engines that serve the service of a profile.
     *
     * @param count number of engines that serve now
     * @param largestMemoryTokens KV cache memory of the largest of them, in tokens
     */
    record ServingEngines(int count, long largestMemoryTokens) {}

    /** Returns sentences that describe the profile. */
    static List<String> describe(Profile profile) {
        List<String> lines = new ArrayList<>();
        lines.add(
                "Profile %s serves requests of class %s on the upstreams of service %s."
                        .formatted(
                                profile.name(),
                                profile.requestClass().name().toLowerCase(Locale.ROOT),
                                profile.service()));
        lines.add(
                "A request completes or fails within %d s of its admission; one that can't do so is"
                                .formatted(profile.timeLimitMillis() / MILLIS_IN_SECOND)
                        + " refused at once, before it is executed.");
        lines.add(
                "Its priority is %d, on a scale from 0 to 9 (most urgent)."
                        .formatted(profile.priority()));
        lines.add(
                profile.models().isEmpty()
                        ? "No model name selects it; requests select it by header or by default."
                        : "Requests that name one of %s select it.".formatted(profile.models()));
        lines.add(
                profile.repeatable()
                        ? "A request may be run again on another upstream after a fault."
                        : "A request is executed at most once and needs an Idempotency-Key.");
        lines.add(
                profile.callerDisconnect() == CallerDisconnectPolicy.CANCEL
                        ? "When the caller closes its connection, the request is cancelled."
                        : "When the caller closes its connection, the request is still completed.");
        lines.add(
                "One team gets at most %s of the service while other teams wait."
                        .formatted(formatPercent(profile.teamShare())));
        lines.add(describeObjective(profile.objective()));
        return List.copyOf(lines);
    }

    /** Returns sentences on how a request of the given team and prompt length would be treated. */
    static List<String> describeRequest(
            ConfigurationDocument document,
            Profile profile,
            ServingEngines engines,
            OptionalLong promptTokens,
            Optional<TeamName> team) {
        List<String> lines = new ArrayList<>();
        team.ifPresent(name -> lines.add(describeTeam(document, profile, name)));
        promptTokens.ifPresent(tokens -> lines.add(describePrompt(profile, engines, tokens)));
        return List.copyOf(lines);
    }

    private static String describeTeam(
            ConfigurationDocument document, Profile profile, TeamName name) {
        Team team = document.teams().get(name);
        if (team == null) {
            return "There is no team %s; its requests are refused.".formatted(name);
        }
        boolean isDefaultProfile = team.defaultProfile().equals(profile.name());
        return "Team %s has weight %d; its requests %s."
                .formatted(
                        name,
                        team.weight(),
                        isDefaultProfile
                                ? "get this profile by default"
                                : "need the header Kumquatweir-Profile: "
                                        + profile.name()
                                        + " or a model name to get it (default: "
                                        + team.defaultProfile()
                                        + ")");
    }

    private static String describePrompt(
            Profile profile, ServingEngines engines, long promptTokens) {
        if (engines.count() == 0) {
            return "No engine of service %s serves now: the request is refused and not executed."
                    .formatted(profile.service());
        }
        long memoryTokens = engines.largestMemoryTokens();
        if (promptTokens <= memoryTokens) {
            return "A prompt of %d tokens fits one engine (the largest of %d holds %d tokens)."
                    .formatted(promptTokens, engines.count(), memoryTokens);
        }
        if (profile.oversize() == OversizePolicy.REFUSE) {
            return "A prompt of %d tokens exceeds one engine (%d tokens) and is refused, not run."
                    .formatted(promptTokens, memoryTokens);
        }
        long enginesNeeded = (promptTokens + memoryTokens - 1) / memoryTokens;
        return "A prompt of %d tokens exceeds one engine (%d tokens): it needs %d engines together,"
                        .formatted(promptTokens, memoryTokens, enginesNeeded)
                + " and %d serve now.".formatted(engines.count());
    }

    private static String describeObjective(ServiceLevelObjective objective) {
        String inTime =
                "Its objective: %s finish in time"
                        .formatted(formatPercent(objective.inTimeShare()));
        return objective.firstTokenMillis() == 0
                ? inTime + "."
                : inTime
                        + ", and %s get their first token within %d ms."
                                .formatted(
                                        formatPercent(objective.firstTokenShare()),
                                        objective.firstTokenMillis());
    }

    private static String formatPercent(double share) {
        return String.format(Locale.ROOT, "%.4g%%", share * 100).replaceAll("\\.?0+%", "%");
    }
}
