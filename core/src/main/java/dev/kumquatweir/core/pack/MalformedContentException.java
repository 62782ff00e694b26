package dev.kumquatweir.core.pack;

/**
 * Ends the decoding of malformed content; {@link MessagePackReader#decode} turns it into {@link
 * MalformedContent}.
 */
public final class MalformedContentException extends Exception {
    /** Describes the error in the content. */
    public MalformedContentException(String problem) {
        super(problem);
    }
}
