package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.CommandId;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The whole state of the state machine as plain values, for snapshots. The maps keep their
 * iteration order and must not be modified.
 *
 * @param limits bounds of the state
 * @param clockMillis time of the state machine, in milliseconds since 1970
 * @param version current configuration version
 * @param documents retained documents by version, ascending
 * @param history retained changes, oldest first
 * @param results retained command results, oldest first
 * @param instances current incarnations in the order of their starts
 * @param epochs fencing epochs by purpose
 * @param expiryCursor last claim that the previous expiry command examined, empty to start over
 * @param claims claims in the order of their keys
 * @param routing the current routing document and the failure domains out of service
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
