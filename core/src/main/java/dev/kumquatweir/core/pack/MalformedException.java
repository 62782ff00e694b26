package dev.kumquatweir.core.pack;

/** Ends the decoding of malformed content; {@link PackReader#decode} turns it into a failure. */
public final class MalformedException extends Exception {
    /** Names the problem. */
    public MalformedException(String problem) {
        super(problem);
    }
}
