package dev.kumquatweir.policy.placement;

/**
 * A part of prompts that is quarantined because upstreams crash on it. Immutable.
 *
 * @param part id of the part, or several ids joined by {@code +} that always crashed together and
 *     can't be told apart
 * @param ageMillis time since the last crash
 */
public record QuarantinedPart(String part, long ageMillis) {}
