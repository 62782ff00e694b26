package dev.kumquatweir.policy.permit;

import java.util.List;

/**
 * Shared limits as the work of one instance uses them: ask, wait until the permit is valid, start
 * under it, give it back. Renewal goes on by itself until then. Not thread-safe: owned by the
 * dispatch duty.
 */
public interface Permits {
    /**
     * Asks for a permit with the next request. Nothing happens if the name is already asked for.
     *
     * @param name name of the claim, unique for this instance
     * @param parts what is needed, all or nothing
     */
    void claim(String name, List<PermitPart> parts);

    /** Asks for a permit for work that already runs, on an upstream that needed none so far. */
    void claimRunning(String name, List<PermitPart> parts);

    /** Returns whether the permit may be used now. */
    boolean isValid(String name, long nowNanos);

    /** Returns whether the leader refused the claim in its last answer. */
    boolean isRefused(String name);

    /** Returns whether the claim is still asked for or held; one that lies idle is given back. */
    boolean isClaimed(String name);

    /**
     * Marks that work starts under a permit. Check it at the moment of sending.
     *
     * @return false if the permit is not valid now; nothing may be sent then
     */
    boolean tryUse(String name, long nowNanos);

    /** Gives a permit back, or stops to ask for it; the leader learns it with the next request. */
    void release(String name);
}
