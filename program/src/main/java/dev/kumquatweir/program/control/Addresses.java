package dev.kumquatweir.program.control;

import java.net.InetSocketAddress;

/** Text form of addresses in the membership, as {@code ip:port}. Holds no state. */
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
