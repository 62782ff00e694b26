package dev.kumquatweir.core.control;

import dev.kumquatweir.core.bytes.Bytes;

/**
 * Stored response of an executed request, which a repeated request gets again. Immutable.
 *
 * @param status HTTP status
 * @param contentType value of the Content-Type header, empty if there was none
 * @param body response body, at most {@link #MAXIMUM_BODY_BYTES}
 * @param complete false if the body was too large to store and is left out
 */
public record RecordedResponse(int status, String contentType, Bytes body, boolean complete) {
    /** Larger bodies are not stored in the replicated log. */
    public static final int MAXIMUM_BODY_BYTES = 64 * 1024;
}
