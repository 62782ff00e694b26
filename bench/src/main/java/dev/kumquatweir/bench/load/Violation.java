package dev.kumquatweir.bench.load;

import java.util.Locale;

/** How an answer or an action broke an invariant. */
public enum Violation {
    /** No end of the answer within its time limit and the grace time. */
    LOST,
    /** Tokens are missing, and the answer looked whole. */
    TRUNCATED,
    /** Tokens or the end came more than once. */
    DOUBLED,
    /** Tokens or an answer of another request. */
    CROSSED,
    /** Text that no request of this run was to get. */
    CORRUPT,
    /** The connection broke off in the middle of an answer, or no target took the request. */
    INTERRUPTED,
    /** An action was executed more than once. */
    EXECUTED_TWICE,
    /** A refusal said that an action was not run, and it was. */
    FALSE_NOT_RUN,
    /** An action was confirmed, and it was not run. */
    NOT_EXECUTED,
    /** The ledger of a service could not be read, so nothing is proved. */
    LEDGER_UNREADABLE;

    /** Returns the name in the report. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
