package dev.kumquatweir.core.configuration;

import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.TeamName;

/**
 * A team and the API key that its requests are authenticated by. Immutable. An API key has the form
 * {@code TEAM.SECRET}, so that the team can be looked up without comparing every hash.
 *
 * @param name name of the team
 * @param keyHash salted hash of the API key, see {@link ApiKeyHash}
 * @param defaultProfile profile of requests that name neither a profile nor a model
 * @param weight fair-share weight on a contended service, at least 1
 */
public record Team(TeamName name, ApiKeyHash keyHash, ProfileName defaultProfile, int weight) {}
