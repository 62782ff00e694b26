package dev.kumquatweir.settings;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of an instance that finds its peers by itself. Instances are named by their IP address,
 * and all of them use the same port between each other. Immutable.
 *
 * @param name name of the machine, for logs
 * @param id this instance
 * @param domain its failure domain
 * @param cluster name of the cluster
 * @param clusterKey key that instances prove to each other
 * @param seeds control instances that are asked for the others first
 * @param peerPort port between instances
 * @param callers where callers connect; empty for a control instance
 * @param readiness where readiness is asked; empty for a control instance
 * @param control where operators and upstreams connect; empty for an entry instance
 * @param metrics where metrics are read
 * @param dataFolder where agreed state is kept; empty for an entry instance
 * @param firstStart whether the whole system starts for the first time
 * @param lostDisks disks that may be lost at once without losing agreed state
 * @param drainMillis time that a planned stop may take
 * @param repeatRatio requests that may be sent again, as a share of first sends
 * @param repeatExtra requests that may be sent again besides, within one window
 * @param repeatWindowMillis length of the window
 * @param connections limits of HTTP connections
 * @param scheduling optional parts of the scheduler
 */
public record FleetSettings(
        String name,
        InstanceId id,
        FailureDomain domain,
        String cluster,
        String clusterKey,
        List<InstanceId> seeds,
        int peerPort,
        Optional<InetSocketAddress> callers,
        Optional<InetSocketAddress> readiness,
        Optional<InetSocketAddress> control,
        InetSocketAddress metrics,
        Optional<Path> dataFolder,
        boolean firstStart,
        int lostDisks,
        long drainMillis,
        double repeatRatio,
        int repeatExtra,
        long repeatWindowMillis,
        ConnectionSettings connections,
        SchedulingSettings scheduling) {
    /** Copies the list. */
    public FleetSettings {
        seeds = List.copyOf(seeds);
    }
}
