package dev.kumquatweir.policy.memory.forecast;

/** What the forecasts of all engines of a scheduler have in common. Not thread-safe. */
public final class MemoryForecasts {
    private static final ExpectedOutput NO_OUTPUT = new ExpectedOutput("", 0, 0, 0);

    private final double mDeviations;
    private final OutputQuantiles mQuantiles;
    private final OutputDistribution mNoOutput;

    /**
     * @param confidence probability with which the requests on an engine fit into its memory, above
     *     0 and below 1
     * @param quantiles distribution of output lengths
     */
    public MemoryForecasts(double confidence, OutputQuantiles quantiles) {
        mDeviations = NormalQuantile.of(confidence);
        mQuantiles = quantiles;
        mNoOutput = OutputDistribution.of((output, probability) -> 0, NO_OUTPUT);
    }

    /** Returns the forecast of an engine that holds nothing. */
    public MemoryForecast forEngine() {
        return new MemoryForecast(mDeviations);
    }

    /**
     * Returns what an engine holds that generates an answer.
     *
     * @param fixedTokens tokens of the prompt that it holds
     */
    public HeldRequest answering(long fixedTokens, ExpectedOutput output) {
        return new HeldRequest(fixedTokens, fixedTokens, OutputDistribution.of(mQuantiles, output));
    }

    /**
     * Returns what an engine holds that only prefills or stores a part of a prompt.
     *
     * @param partTokens tokens of the part, held until the answer starts
     * @param reservedTokens tokens reserved beside it until the end
     */
    public HeldRequest helping(long partTokens, long reservedTokens) {
        return new HeldRequest(partTokens + reservedTokens, reservedTokens, mNoOutput);
    }
}
