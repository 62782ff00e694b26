package dev.kumquatweir.gateway.forward;

/**
 * Terminates a response stream that can't be completed; the HTTP server then closes the connection
 * to the caller. Has no stack trace.
 */
final class StreamAbortedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StreamAbortedException(String reason) {
        super(reason, null, false, false);
    }
}
