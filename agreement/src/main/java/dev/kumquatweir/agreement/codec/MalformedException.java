package dev.kumquatweir.agreement.codec;

/** Ends the decoding of malformed content within this package. */
final class MalformedException extends Exception {
    MalformedException(String problem) {
        super(problem);
    }
}
