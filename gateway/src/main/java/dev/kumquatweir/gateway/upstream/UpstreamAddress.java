package dev.kumquatweir.gateway.upstream;

import java.net.InetAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Addresses that upstreams report, as {@code ip:port}. Holds no state. */
public final class UpstreamAddress {
    private static final Pattern FORM =
            Pattern.compile(
                    "((?:(?:0|[1-9][0-9]{0,2})\\.){3}(?:0|[1-9][0-9]{0,2})|\\[[0-9a-fA-F:]+]):"
                            + "([1-9][0-9]{0,4})");

    private static final int MAXIMUM_PORT = 65_535;

    private UpstreamAddress() {}

    /** Returns whether a text is an IP address and a port to which a connection can be made. */
    public static boolean isValid(String text) {
        Matcher form = FORM.matcher(text);
        return form.matches()
                && Integer.parseInt(form.group(2)) <= MAXIMUM_PORT
                && isLiteral(form.group(1));
    }

    private static boolean isLiteral(String address) {
        try {
            InetAddress unused = InetAddress.ofLiteral(address);
            return true;
        } catch (IllegalArgumentException invalid) {
            return false;
        }
    }
}
