package dev.kumquatweir.standin;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a stand-in reports to kumquatweir. Immutable.
 *
 * @param addresses addresses of kumquatweir for upstreams; one is used until it fails
 * @param key the announce key
 * @param firstAddress which address is used first, counted round the list
 * @param heartbeatMillis time between heartbeats
 * @param loadLagMillis age of the load in each heartbeat
 * @param cacheEventMillis time between messages with cache events
 */
public record ReportSettings(
        List<InetSocketAddress> addresses,
        String key,
        int firstAddress,
        long heartbeatMillis,
        long loadLagMillis,
        long cacheEventMillis) {

    /** No reports. */
    public static final ReportSettings NONE = to(List.of(), "");

    /** Copies the list. */
    public ReportSettings {
        addresses = List.copyOf(addresses);
    }

    /** Reports at the usual pace: heartbeats every 500 ms, load 300 ms old. */
    public static ReportSettings to(List<InetSocketAddress> addresses, String key) {
        return new ReportSettings(addresses, key, 0, 500, 300, 250);
    }

    /** Returns the same settings with another first address. */
    public ReportSettings startingAt(int first) {
        return new ReportSettings(
                addresses, key, first, heartbeatMillis, loadLagMillis, cacheEventMillis);
    }

    /** Returns the same settings at another pace. */
    public ReportSettings paced(long heartbeat, long loadLag, long cacheEvent) {
        return new ReportSettings(addresses, key, firstAddress, heartbeat, loadLag, cacheEvent);
    }
}
