package dev.kumquatweir.gateway.forward;

/** Ends a stream that can't be completed; the connection to the caller is closed. */
final class StreamAbortedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StreamAbortedException(String reason) {
        super(reason, null, false, false);
    }
}
