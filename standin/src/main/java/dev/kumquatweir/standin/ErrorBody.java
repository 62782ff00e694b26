package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.EngineRefusal;

/**
 * Body of a refusal or failure.
 *
 * @param error what went wrong
 */
record ErrorBody(Fault error) {
    /**
     * What went wrong.
     *
     * @param type machine-readable code
     * @param message one sentence for people
     * @param ran whether work was done: {@code no}, {@code yes} or {@code unknown}
     */
    record Fault(String type, String message, String ran) {}

    static ErrorBody of(EngineRefusal refusal) {
        return new ErrorBody(
                new Fault(refusal.code(), refusal.message(), refusal.executed().wireName()));
    }

    static ErrorBody ran(String type, String message) {
        return new ErrorBody(new Fault(type, message, "yes"));
    }
}
