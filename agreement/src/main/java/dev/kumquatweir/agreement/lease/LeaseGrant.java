package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.Optional;

/**
 * The leader grants a configuration lease, counted from when the instance asked. Immutable.
 *
 * @param instance the instance
 * @param processNonce random number of its process
 * @param requestId the ask that is answered
 * @param version newest version
 * @param document the document of that version, absent if the instance has it
 * @param leaseNanos length of the lease
 */
public record LeaseGrant(
        InstanceId instance,
        long processNonce,
        long requestId,
        long version,
        Optional<Bytes> document,
        long leaseNanos) {}
