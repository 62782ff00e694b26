package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * How many upstreams a profile has, now and without one failure domain. Immutable.
 *
 * @param profile name of the profile
 * @param service the service whose upstreams run it
 * @param servingNow upstreams that serve now
 * @param servingWithoutDomain upstreams that serve when the domain is out
 */
record RemainingCapacity(String profile, String service, int servingNow, int servingWithoutDomain) {

    /**
     * Counts for each profile.
     *
     * @param document the configuration document as JSON
     * @param upstreams the upstreams as the status shows them
     * @param domain the domain that is to go out
     */
    static List<RemainingCapacity> without(JsonNode document, JsonNode upstreams, String domain) {
        List<RemainingCapacity> capacities = new ArrayList<>();
        for (JsonNode profile : document.path("profiles")) {
            String service = profile.path("service").asText();
            int servingNow = 0;
            int servingWithoutDomain = 0;
            for (JsonNode upstream : upstreams) {
                boolean isServing =
                        upstream.path("service").asText().equals(service)
                                && upstream.path("state").asText().equals("serving");
                boolean isOutsideDomain = !upstream.path("failure_domain").asText().equals(domain);
                servingNow += isServing ? 1 : 0;
                servingWithoutDomain += isServing && isOutsideDomain ? 1 : 0;
            }
            capacities.add(
                    new RemainingCapacity(
                            profile.path("name").asText(),
                            service,
                            servingNow,
                            servingWithoutDomain));
        }
        capacities.sort(Comparator.comparing(RemainingCapacity::profile));
        return List.copyOf(capacities);
    }

    /** Returns whether the domain's leaving takes the last upstream away. */
    boolean removesLastUpstream() {
        return servingNow > 0 && servingWithoutDomain == 0;
    }
}
