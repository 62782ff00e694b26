package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.CommandId;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The whole state as plain values, for snapshots. The maps keep their order and are not changed any
 * more.
 *
 * @param limits bounds of the state
 * @param clockMillis state machine time
 * @param version present configuration version
 * @param documents kept documents by version, ascending
 * @param history kept changes, oldest first
 * @param results kept results, oldest first
 * @param instances incarnations in the order of their starts
 * @param epochs fencing epochs by purpose
 * @param expiryCursor where the next expiry step goes on
 * @param claims claims in the order of their keys
 * @param routing the routing document in force and the failure domains out of service
 */
public record StateImage(
        StateLimits limits,
        long clockMillis,
        long version,
        Map<Long, Bytes> documents,
        List<ConfigurationChange> history,
        Map<CommandId, StateResult.ConfigurationResult> results,
        List<InstanceStart> instances,
        List<FencingEpoch> epochs,
        Optional<ClaimKey> expiryCursor,
        Map<ClaimKey, ClaimRecord> claims,
        RoutingImage routing) {}
