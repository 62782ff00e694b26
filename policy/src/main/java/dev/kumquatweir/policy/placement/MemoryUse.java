package dev.kumquatweir.policy.placement;

/**
 * Use of the memory of engines by forecast. Immutable.
 *
 * @param highestPercent largest forecast of an engine, in percent of its memory
 * @param tightEngines engines whose forecast exceeds 80 percent of their memory
 * @param passedOver how often an engine did not get a request for lack of memory so far
 */
public record MemoryUse(int highestPercent, int tightEngines, long passedOver) {
    /** Of a scheduler without forecasts. */
    public static final MemoryUse NONE = new MemoryUse(0, 0, 0);

    /** Share of the memory in use from which on an engine counts as tight. */
    static final double TIGHT_SHARE = 0.8;
}
