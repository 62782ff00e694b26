package dev.kumquatweir.standin.model;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Exported and imported parts of the KV cache. An export holds memory until it is released, however
 * long that takes; an import refers to memory of the engine that exported. Not thread-safe.
 */
final class KvStore {
    private final Map<String, Long> mExports = new LinkedHashMap<>();
    private final Map<String, Long> mImports = new LinkedHashMap<>();

    void export(String handle, long tokens) {
        mExports.put(handle, tokens);
    }

    void include(String handle, long tokens) {
        mImports.put(handle, tokens);
    }

    boolean release(String handle) {
        boolean exported = mExports.remove(handle) != null;
        boolean imported = mImports.remove(handle) != null;
        return exported || imported;
    }

    boolean knows(String handle) {
        return mExports.containsKey(handle) || mImports.containsKey(handle);
    }

    long tokens(String handle) {
        Long exported = mExports.get(handle);
        return exported != null ? exported : mImports.getOrDefault(handle, 0L);
    }

    long exportedTokens() {
        return mExports.values().stream().mapToLong(Long::longValue).sum();
    }

    Map<String, Long> exports() {
        return Map.copyOf(mExports);
    }

    void clear() {
        mExports.clear();
        mImports.clear();
    }
}
