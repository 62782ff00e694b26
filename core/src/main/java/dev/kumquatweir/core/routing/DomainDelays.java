package dev.kumquatweir.core.routing;

import dev.kumquatweir.core.identity.FailureDomain;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Times that a message takes between failure domains. Immutable. */
public final class DomainDelays {
    /** No known delays; each crossing takes no time. */
    public static final DomainDelays NONE = new DomainDelays(List.of());

    private final List<Delay> mDelays;
    private final Map<FailureDomain, Map<FailureDomain, Double>> mMillis = new HashMap<>();
    private final double mLargestMillis;

    /**
     * Time from one domain to another.
     *
     * @param from domain of the sender
     * @param to domain of the receiver
     * @param oneWayMillis milliseconds, at least 0
     */
    public record Delay(FailureDomain from, FailureDomain to, double oneWayMillis) {}

    /** Indexes delays. A pair that is given in one direction has the same delay in the other. */
    public DomainDelays(List<Delay> delays) {
        mDelays = List.copyOf(delays);
        for (Delay delay : mDelays) {
            of(delay.from()).put(delay.to(), delay.oneWayMillis());
        }
        for (Delay delay : mDelays) {
            of(delay.to()).putIfAbsent(delay.from(), delay.oneWayMillis());
        }
        mLargestMillis = mDelays.stream().mapToDouble(Delay::oneWayMillis).max().orElse(0);
    }

    private Map<FailureDomain, Double> of(FailureDomain domain) {
        return mMillis.computeIfAbsent(domain, key -> new HashMap<>());
    }

    /** Returns the delays as they were given. */
    public List<Delay> delays() {
        return mDelays;
    }

    /** Returns whether no delays are known. */
    public boolean isEmpty() {
        return mDelays.isEmpty();
    }

    /**
     * Returns the milliseconds from one domain to another: 0 within a domain unless given, the
     * largest known delay for a pair that is not given.
     */
    public double oneWayMillis(FailureDomain from, FailureDomain to) {
        double otherwise = from.equals(to) ? 0 : mLargestMillis;
        Map<FailureDomain, Double> known = mMillis.get(from);
        return known == null ? otherwise : known.getOrDefault(to, otherwise);
    }

    /** Returns the milliseconds from one domain to another and back. */
    public double roundTripMillis(FailureDomain from, FailureDomain to) {
        return oneWayMillis(from, to) + oneWayMillis(to, from);
    }
}
