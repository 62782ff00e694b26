package dev.kumquatweir.gateway.oversize;

/** What became of a call that moves KV caches. Implementations are immutable. */
public sealed interface KvAnswer {
    /**
     * The engine has done it.
     *
     * @param handle the engine's name of the cache
     */
    record Done(String handle) implements KvAnswer {}

    /**
     * The engine has refused it, so it did not happen.
     *
     * @param type the engine's reason
     */
    record Refused(String type) implements KvAnswer {}

    /**
     * No answer came, so it may have happened.
     *
     * @param problem what was seen
     */
    record Unknown(String problem) implements KvAnswer {}
}
