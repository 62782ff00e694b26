package dev.kumquatweir.program.control;

import java.net.InetSocketAddress;

/** Formats and parses member addresses as {@code ip:port}. */
final class Addresses {
    private Addresses() {}

    static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
