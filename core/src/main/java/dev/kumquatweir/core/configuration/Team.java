package dev.kumquatweir.core.configuration;

import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.TeamName;

/**
 * A team and how its requests are recognised. Immutable. An API key has the form {@code
 * TEAM.SECRET}, so that the team is found without trying every hash.
 *
 * @param name name of the team
 * @param keyHash salted hash of the API key, see {@link ApiKeyHash}
 * @param defaultProfile profile of requests that name neither profile nor model
 * @param weight relative claim on a contended service, at least 1
 */
public record Team(TeamName name, ApiKeyHash keyHash, ProfileName defaultProfile, int weight) {}
