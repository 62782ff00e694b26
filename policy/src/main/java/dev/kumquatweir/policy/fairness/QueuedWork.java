package dev.kumquatweir.policy.fairness;

import dev.kumquatweir.core.identity.TeamName;

/** A waiting request, with the properties that {@link FairQueue} uses to order it. */
public interface QueuedWork {
    /** Returns the team that is charged for it. */
    TeamName team();

    /** Returns its urgency; higher values are served first. May change only while not queued. */
    int urgency();

    /** Returns its cost in tokens, at least 1. */
    long tokens();

    /** Returns whether it may be shed in favour of more urgent work. */
    boolean mayBeShed();
}
