package dev.kumquatweir.program.burn;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.ServiceLevelObjective;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.gateway.http.JsonBodies;
import java.util.Comparator;
import java.util.Locale;

/** Compares counts with the objectives of the configuration. Pure. */
public final class BurnReport {
    private static final int REPORTED_HOURS = 72;
    private static final long HOUR_MILLIS = 3_600_000;

    private BurnReport() {}

    /** Returns the report: for each profile its objective, counts and burn rates. */
    public static ObjectNode of(
            BurnAggregator.AggregatedBurn aggregated,
            ConfigurationDocument document,
            long nowMillis) {
        ObjectNode root = JsonBodies.object();
        root.put("now_ms", nowMillis);
        ArrayNode missing = root.putArray("missing_instances");
        aggregated.missingInstances().forEach(instance -> missing.add(instance.value()));
        ArrayNode profiles = root.putArray("profiles");
        document.profiles().values().stream()
                .sorted(Comparator.comparing(Profile::name))
                .forEach(
                        profile ->
                                write(
                                        profiles.addObject(),
                                        profile.name(),
                                        profile.objective(),
                                        aggregated.summary(),
                                        nowMillis));
        return root;
    }

    private static void write(
            ObjectNode node,
            ProfileName name,
            ServiceLevelObjective objective,
            BurnSummary summary,
            long nowMillis) {
        node.put("profile", name.value());
        node.put("in_time_share", objective.inTimeShare());
        node.put("first_token_millis", objective.firstTokenMillis());
        node.put("first_token_share", objective.firstTokenShare());
        ArrayNode windows = node.putArray("windows");
        for (int minutes : BurnSummary.WINDOW_MINUTES) {
            BurnCounts counts = summary.get(name.value(), BurnSummary.windowKey(minutes));
            ObjectNode window = windows.addObject();
            window.put("minutes", minutes);
            for (BurnCount count : BurnCount.values()) {
                window.put(count.name().toLowerCase(Locale.ROOT), counts.get(count));
            }
            window.put("burn_rate", counts.burnRate(objective.inTimeShare()));
            window.put(
                    "first_token_burn_rate",
                    counts.firstTokenBurnRate(objective.firstTokenShare()));
        }
        ArrayNode hours = node.putArray("hours");
        long lastHour = nowMillis / HOUR_MILLIS;
        for (long hour = lastHour - REPORTED_HOURS + 1; hour <= lastHour; hour++) {
            BurnCounts counts = summary.get(name.value(), BurnSummary.hourKey(hour));
            hours.addObject()
                    .put("hour_ms", hour * HOUR_MILLIS)
                    .put("admitted", counts.get(BurnCount.ADMITTED))
                    .put("bad", counts.objectiveViolations())
                    .put("burn_rate", counts.burnRate(objective.inTimeShare()));
        }
    }
}
