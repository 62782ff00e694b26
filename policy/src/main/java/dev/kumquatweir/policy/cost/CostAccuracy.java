package dev.kumquatweir.policy.cost;

/**
 * How well the output of answers was estimated lately. Immutable.
 *
 * @param medianPercent median of output divided by estimate, in percent; 0 while little is known
 * @param highPercent the same that nine of ten answers don't exceed
 * @param distributions number of distributions that are held
 */
public record CostAccuracy(int medianPercent, int highPercent, int distributions) {
    /** Of a scheduler that learns no costs. */
    public static final CostAccuracy NONE = new CostAccuracy(0, 0, 0);

    /** Returns whether enough answers were seen. */
    public boolean known() {
        return medianPercent > 0;
    }
}
