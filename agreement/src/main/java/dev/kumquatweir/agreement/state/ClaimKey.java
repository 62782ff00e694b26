package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.TeamName;

/**
 * What a claim is on; keys of different teams never meet. Immutable.
 *
 * @param team the team
 * @param key the caller's key
 */
public record ClaimKey(TeamName team, IdempotencyKey key) implements Comparable<ClaimKey> {
    @Override
    public int compareTo(ClaimKey other) {
        int byTeam = team.compareTo(other.team);
        return byTeam != 0 ? byTeam : key.compareTo(other.key);
    }
}
