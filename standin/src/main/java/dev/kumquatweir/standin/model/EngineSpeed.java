package dev.kumquatweir.standin.model;

/**
 * How fast an engine works. Immutable.
 *
 * @param prefillTokensPerSecond prompt tokens processed in a second
 * @param prefillChunkTokens largest number of prompt tokens in one step
 * @param stepMicros time of a step without any work
 * @param decodeMicros time that each decoding request adds to a step
 * @param coldSlowdown factor on the time of each step while the engine is cold
 * @param timeScale factor on all times; 0.01 makes the engine a hundred times as fast
 */
public record EngineSpeed(
        long prefillTokensPerSecond,
        long prefillChunkTokens,
        long stepMicros,
        long decodeMicros,
        double coldSlowdown,
        double timeScale) {

    /** An engine of usual speed: 20,000 prompt tokens/s and 12 ms to 28 ms between tokens. */
    public static final EngineSpeed USUAL = new EngineSpeed(20_000, 256, 12_000, 40, 8.0, 1.0);

    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Checks that each part is positive. */
    public EngineSpeed {
        boolean positive =
                prefillTokensPerSecond > 0
                        && prefillChunkTokens > 0
                        && stepMicros > 0
                        && decodeMicros >= 0
                        && coldSlowdown > 0
                        && timeScale > 0;
        if (!positive) {
            throw new IllegalArgumentException("each part of an engine's speed is positive");
        }
    }

    /** Returns the same speed under another time scale. */
    public EngineSpeed scaled(double scale) {
        return new EngineSpeed(
                prefillTokensPerSecond,
                prefillChunkTokens,
                stepMicros,
                decodeMicros,
                coldSlowdown,
                scale);
    }

    /** Returns the time of a step in nanoseconds, at least 1. */
    public long stepNanos(long prefillTokens, int decoding, boolean cold) {
        double nanos =
                (stepMicros + (double) decodeMicros * decoding) * NANOS_PER_MICRO
                        + prefillTokens * NANOS_PER_SECOND / prefillTokensPerSecond;
        return Math.max(1, (long) (nanos * timeScale * (cold ? coldSlowdown : 1)));
    }

    /** Returns a time of the engine in nanoseconds of the real clock. */
    public long scaledNanos(long millis) {
        return (long) (millis * NANOS_PER_MILLI * timeScale);
    }
}
