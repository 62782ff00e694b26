package dev.kumquatweir.core.control;

import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;

/**
 * Asks for the sole right to execute a request that may not be repeated. Immutable.
 *
 * @param team team of the caller; keys of different teams never meet
 * @param key the caller's key
 * @param requestHash SHA-256 of method, path, profile and body as hexadecimal text
 * @param requestId the request that would execute it
 * @param timeLimitMillis time from now after which a missing outcome counts as unknown
 */
public record ClaimRequest(
        TeamName team,
        IdempotencyKey key,
        String requestHash,
        RequestId requestId,
        long timeLimitMillis) {}
