package dev.kumquatweir.bench;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.LoadReport;

/** An upstream of the bench: an engine or a plain service. */
interface Upstream {
    /** Returns what it announces. */
    Announcement announcement();

    /** Returns its load. */
    LoadReport report();

    /** Returns whether it runs and answers. */
    boolean alive();

    /** Returns whether it is stopped without being dead. */
    boolean frozen();

    /** Takes an attempt. */
    void start(Job job);

    /** Cancels an attempt. Does nothing if it does not run here. */
    void cancel(AttemptId attempt);

    /** Dies: all attempts break off, caches are lost. */
    void die();

    /** Starts again after a death. */
    void restart(boolean cold);

    /** Becomes cold or warm without any other sign. */
    void setCold(boolean cold);

    /** Stops or goes on without any other sign. */
    void setFrozen(boolean frozen);

    /** Answers to the running attempts of an instance are lost from now on; new ones work. */
    void silence(int instance);

    /** Returns the memory in use by running attempts, in tokens. */
    long memoryInUse();
}
