package dev.kumquatweir.bench;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The simulated machines of one run.
 *
 * @param simulation virtual time
 * @param measures what happened
 * @param deployment the user's deployment
 * @param upstreams upstreams by name, in order of their numbers
 */
record World(
        Simulation simulation,
        Measures measures,
        Deployment deployment,
        Map<UpstreamId, Upstream> upstreams) {

    /** Makes the machines of a deployment. */
    static World of(Deployment deployment) {
        Simulation simulation = new Simulation();
        Measures measures = new Measures();
        Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
        for (Announcement announcement : deployment.announcements()) {
            upstreams.put(
                    announcement.id(),
                    announcement.models().isEmpty()
                            ? new ServiceFake(simulation, measures, announcement)
                            : new EngineFake(simulation, measures, announcement));
        }
        return new World(simulation, measures, deployment, upstreams);
    }

    /** Returns an upstream by its number. */
    Upstream upstream(int number) {
        return List.copyOf(upstreams.values()).get(number);
    }

    /** Returns the engines. */
    List<EngineFake> engines() {
        return upstreams.values().stream()
                .filter(upstream -> upstream instanceof EngineFake)
                .map(upstream -> (EngineFake) upstream)
                .toList();
    }
}
