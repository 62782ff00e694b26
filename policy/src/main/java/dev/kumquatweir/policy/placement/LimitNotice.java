package dev.kumquatweir.policy.placement;

/**
 * What a response says about the number of requests per second that its upstream takes from all
 * instances together.
 */
public sealed interface LimitNotice {
    /**
     * The upstream names a limit.
     *
     * @param perSecond positive and finite
     */
    record Named(double perSecond) implements LimitNotice {
        /** Checks the value. */
        public Named {
            if (!(perSecond > 0) || Double.isInfinite(perSecond)) {
                throw new IllegalArgumentException("no limit: " + perSecond);
            }
        }
    }

    /** The upstream names none. */
    record None() implements LimitNotice {}

    /** The response has a limit that is no positive decimal number; it binds and lifts nothing. */
    record Unreadable(String value) implements LimitNotice {}
}
