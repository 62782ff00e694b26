package dev.kumquatweir.policy.placement;

/**
 * Estimated cost of the prefill of one part of a prompt on one engine.
 *
 * @param upstream the engine
 * @param prefillMillis prefill time of the part
 * @param readyMillis time from now until the part is processed
 * @param passMillis duration of a decoding pass there, without prefill
 * @param lostValue value that other requests on the engine would lose by delays
 */
record PartEstimate(
        PlacementUpstream upstream,
        double prefillMillis,
        double readyMillis,
        double passMillis,
        double lostValue) {}
