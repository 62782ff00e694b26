package dev.kumquatweir.core.control;

import dev.kumquatweir.core.bytes.Bytes;

/**
 * The answer of an executed request, kept so that a repeat gets the same. Immutable.
 *
 * @param status HTTP status
 * @param contentType value of the Content-Type header, empty if there was none
 * @param body body of the answer, at most {@link #MAXIMUM_BODY_BYTES}
 * @param complete false if the body was too large to keep and only the status is known
 */
public record RecordedResponse(int status, String contentType, Bytes body, boolean complete) {
    /** Larger bodies are not kept in the log. */
    public static final int MAXIMUM_BODY_BYTES = 64 * 1024;
}
