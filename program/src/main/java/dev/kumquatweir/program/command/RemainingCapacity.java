package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The number of upstreams that serve a profile, now and without one failure domain. Immutable.
 *
 * @param profile name of the profile
 * @param service service whose upstreams execute the requests of the profile
 * @param servingNow number of upstreams that serve now
 * @param servingWithoutDomain number of those outside the failure domain
 */
record RemainingCapacity(String profile, String service, int servingNow, int servingWithoutDomain) {

    /**
     * Counts the upstreams of each profile; the result is ordered by profile name.
     *
     * @param document the configuration document as JSON
     * @param upstreams upstreams of the status response
     * @param domain failure domain to be taken out of service
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

    /** Returns whether the profile would lose its last upstream without the failure domain. */
    boolean removesLastUpstream() {
        return servingNow > 0 && servingWithoutDomain == 0;
    }
}
