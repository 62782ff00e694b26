package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import java.util.Set;
import java.util.TreeSet;

/**
 * The current routing document and the failure domains out of service. Immutable.
 *
 * @param version version of the document, 0 before the first
 * @param document the document as it was received, not parsed
 * @param domainsOutOfService failure domains whose upstreams get no new requests
 * @param changeCount number of changes so far, so that two images can be ordered
 */
public record RoutingImage(
        long version, Bytes document, Set<FailureDomain> domainsOutOfService, long changeCount) {
    /** The initial state. */
    public static final RoutingImage EMPTY = new RoutingImage(0, Bytes.EMPTY, Set.of(), 0);

    /** Copies the set, so that the record is immutable. */
    public RoutingImage {
        domainsOutOfService = Set.copyOf(domainsOutOfService);
    }

    /** Returns an image with this document, or this image if the version is not higher. */
    public RoutingImage withDocument(long newVersion, Bytes newDocument) {
        return newVersion <= version
                ? this
                : new RoutingImage(newVersion, newDocument, domainsOutOfService, changeCount + 1);
    }

    /** Returns an image with the failure domain out of service or back; this image if unchanged. */
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
