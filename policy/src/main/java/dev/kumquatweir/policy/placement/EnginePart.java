package dev.kumquatweir.policy.placement;

/**
 * What it would mean for one engine to read a part of a prompt.
 *
 * @param upstream the engine
 * @param readMillis time to read the part there
 * @param readyMillis time from now until it is read
 * @param passMillis time of a pass that emits events there, without reading
 * @param harm value that other requests on the engine would lose
 */
record EnginePart(
        PlacementUpstream upstream,
        double readMillis,
        double readyMillis,
        double passMillis,
        double harm) {}
