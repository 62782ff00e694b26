package dev.kumquatweir.policy.permit;

import java.util.List;

/**
 * Permits for shared limits, as one instance uses them: claim a permit, wait until it is valid,
 * start the work under it, and release it. The permit is renewed until it is released. Not
 * thread-safe: owned by the dispatch event loop.
 */
public interface Permits {
    /**
     * Claims a permit with the next request. Has no effect if the name is already claimed.
     *
     * @param name name of the claim, unique for this instance
     * @param parts needed resources and amounts, granted all together or not at all
     */
    void claim(String name, List<PermitPart> parts);

    /**
     * Claims a permit for work that is already running, because its upstream did not need permits
     * when it started.
     */
    void claimRunning(String name, List<PermitPart> parts);

    /** Returns whether the permit is valid at the given time. */
    boolean isValid(String name, long nowNanos);

    /** Returns whether the last answer of the leader refused the claim. */
    boolean isRefused(String name);

    /** Returns whether the claim still exists; one that stays idle is released automatically. */
    boolean isClaimed(String name);

    /**
     * Marks a permit as in use, if it is valid. To be called immediately before the work is sent.
     *
     * @return false if the permit is not valid, in which case nothing may be sent
     */
    boolean tryUse(String name, long nowNanos);

    /** Releases a permit or withdraws its claim; the next request reports it to the leader. */
    void release(String name);
}
