package dev.kumquatweir.core.identity;

import java.util.regex.Pattern;

/** Rules that all identifiers share. Thread-safe: holds no state. */
final class Identifiers {
    private static final int MAXIMUM_LENGTH = 200;
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@/+=-]*");

    private Identifiers() {}

    /**
     * Checks that an identifier is short and free of characters that would break logs or headers.
     *
     * @param kind what the value identifies, used in the failure
     * @param value the text to check
     * @throws InvalidIdentifierException if the text is empty, too long or has other characters
     */
    static void requireValid(String kind, String value) {
        if (value.length() > MAXIMUM_LENGTH || !ALLOWED.matcher(value).matches()) {
            throw new InvalidIdentifierException(kind, value);
        }
    }
}
