package dev.kumquatweir.settings;

import java.net.InetSocketAddress;

/**
 * Addresses that an instance listens on. Immutable.
 *
 * @param caller for callers, health checks and metrics
 * @param upstream for the announcements and reports of upstreams
 * @param operator for operators
 */
public record ListenSettings(
        InetSocketAddress caller, InetSocketAddress upstream, InetSocketAddress operator) {}
