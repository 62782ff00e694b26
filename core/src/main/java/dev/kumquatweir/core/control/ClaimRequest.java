package dev.kumquatweir.core.control;

import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;

/**
 * Asks for the exclusive right to execute a non-repeatable request. Immutable.
 *
 * @param team team of the caller; each team has its own key space
 * @param key idempotency key of the caller
 * @param requestHash SHA-256 of method, path, profile and body as hexadecimal text
 * @param requestId id of the request that claims the key
 * @param timeLimitMillis time from the claim after which a missing outcome counts as unknown
 */
public record ClaimRequest(
        TeamName team,
        IdempotencyKey key,
        String requestHash,
        RequestId requestId,
        long timeLimitMillis) {}
