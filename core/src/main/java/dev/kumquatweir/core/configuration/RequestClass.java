package dev.kumquatweir.core.configuration;

/** How urgent a class of work is and what it may cost others. */
public enum RequestClass {
    /** Quick questions: answered promptly. */
    SHORT,
    /** Long documents: completed within their time, never dropped. */
    LONG,
    /** Requests with side effects: executed at most once. */
    ACTION
}
