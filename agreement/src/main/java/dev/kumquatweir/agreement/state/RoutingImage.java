package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import java.util.Set;
import java.util.TreeSet;

/**
 * The routing document in force and the failure domains out of service. Immutable.
 *
 * @param version number of the document, 0 before any
 * @param document the document as its author sent it
 * @param domainsOutOfService failure domains whose upstreams get no new work
 * @param changeCount grows with each change of the others, so that two images can be ordered
 */
public record RoutingImage(
        long version, Bytes document, Set<FailureDomain> domainsOutOfService, long changeCount) {
    /** The state before any change. */
    public static final RoutingImage EMPTY = new RoutingImage(0, Bytes.EMPTY, Set.of(), 0);

    /** Copies the set. */
    public RoutingImage {
        domainsOutOfService = Set.copyOf(domainsOutOfService);
    }

    /** Returns the image with a document, or this one if the number is not higher. */
    public RoutingImage withDocument(long newVersion, Bytes newDocument) {
        return newVersion <= version
                ? this
                : new RoutingImage(newVersion, newDocument, domainsOutOfService, changeCount + 1);
    }

    /** Returns the image with a failure domain out of service or back, this one if it is so. */
    public RoutingImage withDomain(FailureDomain domain, boolean out) {
        if (domainsOutOfService.contains(domain) == out) {
            return this;
        }
        Set<FailureDomain> changed = new TreeSet<>(domainsOutOfService);
        if (out) {
            changed.add(domain);
        } else {
            changed.remove(domain);
        }
        return new RoutingImage(version, document, changed, changeCount + 1);
    }
}
