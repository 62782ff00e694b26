package dev.kumquatweir.settings;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import java.net.InetSocketAddress;

/**
 * One instance of the system as the settings name it. Immutable.
 *
 * @param id the instance
 * @param address where its peers reach it
 * @param domain the failure domain it runs in
 * @param voter whether it has a data folder and votes at the first start of the cluster
 */
public record PeerSettings(
        InstanceId id, InetSocketAddress address, FailureDomain domain, boolean voter) {}
