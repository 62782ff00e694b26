package dev.kumquatweir.core.identity;

import java.util.regex.Pattern;

/** Syntax rules shared by all identifiers. Stateless and thread-safe. */
final class Identifiers {
    private static final int MAXIMUM_LENGTH = 200;
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@/+=-]*");

    private Identifiers() {}

    /**
     * Checks the length of an identifier, and that it has no characters that would break log lines
     * or HTTP headers.
     *
     * @param kind kind of identifier, used in the error message
     * @param value the text to check
     * @throws InvalidIdentifierException if the text is empty, too long or has characters that are
     *     not allowed
     */
    static void requireValid(String kind, String value) {
        if (value.length() > MAXIMUM_LENGTH || !ALLOWED.matcher(value).matches()) {
            throw new InvalidIdentifierException(kind, value);
        }
    }
}
