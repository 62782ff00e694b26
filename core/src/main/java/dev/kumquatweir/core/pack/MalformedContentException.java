package dev.kumquatweir.core.pack;

/**
 * Ends the decoding of malformed content; {@link MessagePackReader#decode} turns it into a failure.
 */
public final class MalformedContentException extends Exception {
    /** Names the problem. */
    public MalformedContentException(String problem) {
        super(problem);
    }
}
