package dev.kumquatweir.settings;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of one instance, checked as a whole. Immutable.
 *
 * @param id the instance
 * @param domain the failure domain it runs in
 * @param dataFolder where it keeps its state; empty for an instance without a disk
 * @param listen addresses it listens on
 * @param cluster name of the cluster; instances of other clusters are refused
 * @param clusterKey key that instances prove to each other
 * @param announceKey key that upstreams show
 * @param peers all instances of the cluster, this one included
 * @param limits bounds on what it accepts
 * @param operators who may change the configuration
 * @param firstConfiguration file with the configuration of a new cluster, if one is named
 */
public record InstanceSettings(
        InstanceId id,
        FailureDomain domain,
        Optional<Path> dataFolder,
        ListenSettings listen,
        String cluster,
        String clusterKey,
        String announceKey,
        List<PeerSettings> peers,
        LimitSettings limits,
        List<OperatorSettings> operators,
        Optional<Path> firstConfiguration) {

    /** Copies the lists, so that the record is immutable. */
    public InstanceSettings {
        peers = List.copyOf(peers);
        operators = List.copyOf(operators);
    }

    /** Returns the other instances of the cluster. */
    public List<InstanceId> otherInstances() {
        return peers.stream().map(PeerSettings::id).filter(peer -> !peer.equals(id)).toList();
    }

    /** Returns what the settings say of this instance as a peer. */
    public PeerSettings self() {
        return peers.stream().filter(peer -> peer.id().equals(id)).findFirst().orElseThrow();
    }
}
