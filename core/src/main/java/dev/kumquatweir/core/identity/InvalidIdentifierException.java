package dev.kumquatweir.core.identity;

/** Thrown when a text is not a valid identifier of the stated kind. */
public final class InvalidIdentifierException extends IllegalArgumentException {
    private static final int SHOWN_CHARACTERS = 60;

    private final String mKind;

    InvalidIdentifierException(String kind, String value) {
        super(
                "not a valid "
                        + kind
                        + ": '"
                        + value.substring(0, Math.min(SHOWN_CHARACTERS, value.length()))
                        + "' (letters, digits and ._:@/+=- only, 1 to 200 characters)");
        mKind = kind;
    }

    /** Returns the kind of identifier that was expected, for instance "team". */
    public String kind() {
        return mKind;
    }
}
