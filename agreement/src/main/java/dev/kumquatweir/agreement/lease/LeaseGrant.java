package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.Optional;

/**
 * Configuration lease granted by the leader, counted from when the instance sent the request.
 * Immutable.
 *
 * @param instance the instance
 * @param processNonce random number that identifies its process
 * @param requestId number of the request that is granted
 * @param version newest configuration version
 * @param document document of that version, absent if the instance already has it
 * @param leaseNanos length of the lease
 */
public record LeaseGrant(
        InstanceId instance,
        long processNonce,
        long requestId,
        long version,
        Optional<Bytes> document,
        long leaseNanos) {}
