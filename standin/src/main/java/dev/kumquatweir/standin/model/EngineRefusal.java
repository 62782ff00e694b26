package dev.kumquatweir.standin.model;

import dev.kumquatweir.core.failure.Failure;
import java.util.Locale;

/** Why an engine refuses a call. In each case no work was done. */
public enum EngineRefusal implements Failure {
    /** The request or the handle does not fit the free KV cache memory. */
    MEMORY_FULL(409, "the free KV cache memory does not hold this request"),
    /** The engine is cold and takes no more. */
    COLD_LIMIT(409, "the engine is cold and runs as much as it can"),
    /** The model is not loaded. */
    UNKNOWN_MODEL(409, "the model is not loaded"),
    /** The name of the attempt was used before. */
    DUPLICATE_ATTEMPT(409, "the attempt was taken before"),
    /** The engine is leaving or told to refuse. */
    DRAINING(409, "the engine takes no new work"),
    /** The order has an older fencing number than one that was taken. */
    STALE_FENCING(409, "an order with a newer fencing number was taken before"),
    /** The attempt to export is not here or its prefill has not ended. */
    UNKNOWN_ATTEMPT(404, "the attempt is not here or its prefill has not ended"),
    /** The handle is not known. */
    UNKNOWN_HANDLE(404, "the KV handle is not known"),
    /** The text to resume from is not the start of this answer. */
    RESUME_MISMATCH(400, "the text does not match the offset and the prompt"),
    /** The body can't be read or a field is out of range. */
    MALFORMED(400, "the body can't be read"),
    /** The engine process is overloaded or stopping. */
    UNAVAILABLE(503, "the engine can't take the call now");

    private final int mStatus;
    private final String mMessage;

    EngineRefusal(int status, String message) {
        mStatus = status;
        mMessage = message;
    }

    /** Returns the HTTP status. */
    public int status() {
        return mStatus;
    }

    @Override
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String message() {
        return mMessage;
    }
}
