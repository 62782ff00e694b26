package dev.kumquatweir.policy.locality;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.routing.DomainDelays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The upstreams of one service in one failure domain: how much of them is in use, and what it costs
 * callers of other domains to reach them. Load pattern: demand that moves between domains. A caller
 * crosses to the domain with the most free capacity, and foreign requests leave a domain as its own
 * demand grows. Owned by {@link ServiceDomains}; not thread-safe.
 */
public final class DomainCapacity {
    /**
     * Price of a crossing as a share of the request's value while both domains are equally busy.
     * Below the value of packing short prompts on busy engines, so that it decides among equals.
     */
    private static final double CROSSING_PRICE = 0.04;

    /** Change of the price between an idle and a fully used domain. */
    private static final double IMBALANCE_PRICE = 0.06;

    /** Remains even if the own domain is full and the other one idle. */
    private static final double MINIMUM_PRICE = 0.005;

    /**
     * Price of a one-way time as long as the target gap. A lost packet delays an event by a
     * multiple of the crossing.
     */
    private static final double GAP_PRICE = 0.1;

    private final ServiceDomains mDomains;
    private final FailureDomain mDomain;
    private final Map<FailureDomain, Crossing> mCrossings = new HashMap<>();
    private double mSlots;
    private double mBusySlots;

    /** The way from a caller's domain, kept since it is needed for each engine compared. */
    private record Crossing(DomainCapacity from, double oneWayMillis, double roundTripMillis) {}

    DomainCapacity(ServiceDomains domains, FailureDomain domain) {
        mDomains = domains;
        mDomain = domain;
    }

    /** Applies changed times between domains. */
    void updateDelays() {
        mCrossings.clear();
    }

    void reset() {
        mSlots = 0;
        mBusySlots = 0;
    }

    /**
     * Adds an upstream.
     *
     * @param slots requests that it can run, less if it is slow
     * @param busyShare share of it that is in use, 0 to 1
     */
    public void add(double slots, double busyShare) {
        mSlots += slots;
        mBusySlots += slots * busyShare;
    }

    /** Counts a request that starts here. */
    public void started() {
        mBusySlots++;
    }

    /** Returns the share in use, 0 to 1; a domain without upstreams is full. */
    public double busyShare() {
        return mSlots > 0 ? Math.min(1, mBusySlots / mSlots) : 1;
    }

    /** Returns the milliseconds from a caller's domain to this one and back. */
    public double roundTripMillis(Optional<FailureDomain> from) {
        return from.isEmpty() ? 0 : crossing(from.get()).roundTripMillis();
    }

    /**
     * Returns the price of running a request here, as a share of its value; 0 in its own domain.
     *
     * @param from domain of the caller's instance
     * @param targetGapMillis longest gap between two events that is on time, 0 for no limit
     */
    public double price(Optional<FailureDomain> from, long targetGapMillis) {
        if (from.isEmpty() || from.get().equals(mDomain)) {
            return 0;
        }
        Crossing crossing = crossing(from.get());
        double imbalance = busyShare() - crossing.from().busyShare();
        double gapPrice =
                targetGapMillis > 0
                        ? GAP_PRICE * Math.min(1, crossing.oneWayMillis() / targetGapMillis)
                        : 0;
        return Math.max(MINIMUM_PRICE, CROSSING_PRICE + IMBALANCE_PRICE * imbalance) + gapPrice;
    }

    private Crossing crossing(FailureDomain from) {
        Crossing known = mCrossings.get(from);
        if (known == null) {
            DomainDelays delays = mDomains.delays();
            known =
                    new Crossing(
                            mDomains.capacity(from),
                            delays.oneWayMillis(mDomain, from),
                            delays.roundTripMillis(from, mDomain));
            mCrossings.put(from, known);
        }
        return known;
    }
}
