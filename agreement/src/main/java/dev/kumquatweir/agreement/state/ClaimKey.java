package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.TeamName;

/**
 * Key of a claim: an idempotency key within the key space of a team. Immutable.
 *
 * @param team the team
 * @param key idempotency key of the caller
 */
public record ClaimKey(TeamName team, IdempotencyKey key) implements Comparable<ClaimKey> {
    @Override
    public int compareTo(ClaimKey other) {
        int byTeam = team.compareTo(other.team);
        return byTeam != 0 ? byTeam : key.compareTo(other.key);
    }
}
