package dev.kumquatweir.storage;

import java.io.IOException;

/** The device or the quota has no space left. */
public final class NoSpaceException extends IOException {
    private final String mLocation;

    /**
     * Makes the exception.
     *
     * @param location file that found no space
     */
    public NoSpaceException(String location) {
        super("no space left for " + location);
        mLocation = location;
    }

    /** Returns the file that found no space. */
    public String location() {
        return mLocation;
    }
}
