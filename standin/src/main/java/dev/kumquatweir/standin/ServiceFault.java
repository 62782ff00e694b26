package dev.kumquatweir.standin;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** Faults of a stand-in plain service. */
enum ServiceFault {
    /** Executes, then answers after the value in milliseconds. */
    DELAY,
    /** Executes, then answers with the value as status, or 500. */
    ERROR_AFTER,
    /** Executes, then closes the connection without an answer. */
    CLOSE_AFTER,
    /** Closes the connection without executing. */
    CLOSE_BEFORE,
    /** Never answers on connections that are open now, and does not execute what comes there. */
    SILENT,
    /** Executes and never answers. */
    SILENT_AFTER,
    /** Ends at once. */
    DIE;

    String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<ServiceFault> named(String name) {
        return Stream.of(values()).filter(fault -> fault.wireName().equals(name)).findFirst();
    }
}
