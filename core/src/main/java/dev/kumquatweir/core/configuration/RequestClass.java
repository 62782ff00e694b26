package dev.kumquatweir.core.configuration;

/** Class of requests, from which a {@link Profile} takes its defaults. */
public enum RequestClass {
    /** Interactive requests with a short time limit. */
    SHORT,
    /** Requests with long prompts: completed within their time limit, never dropped. */
    LONG,
    /** Requests with side effects: executed at most once. */
    ACTION
}
