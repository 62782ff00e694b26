package dev.kumquatweir.standin.model;

/**
 * A part of a KV cache that was exported. Immutable.
 *
 * @param handle its name, the same on all engines
 * @param tokens its length
 */
public record KvHandle(String handle, long tokens) {}
