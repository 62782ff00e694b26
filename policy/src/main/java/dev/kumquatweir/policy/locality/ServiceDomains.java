package dev.kumquatweir.policy.locality;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.routing.DomainDelays;
import java.util.HashMap;
import java.util.Map;

/** The failure domains of the upstreams of one service. Not thread-safe. */
public final class ServiceDomains {
    private final Map<FailureDomain, DomainCapacity> mCapacities = new HashMap<>();
    private DomainDelays mDelays = DomainDelays.NONE;

    /** Sets the times between domains. */
    public void setDelays(DomainDelays delays) {
        if (delays != mDelays) {
            mDelays = delays;
            mCapacities.values().forEach(DomainCapacity::updateDelays);
        }
    }

    /** Returns the upstreams in a domain. */
    public DomainCapacity capacity(FailureDomain domain) {
        return mCapacities.computeIfAbsent(domain, key -> new DomainCapacity(this, key));
    }

    /** Forgets the upstreams, before those that may get work now are added. */
    public void reset() {
        mCapacities.values().forEach(DomainCapacity::reset);
    }

    DomainDelays delays() {
        return mDelays;
    }
}
