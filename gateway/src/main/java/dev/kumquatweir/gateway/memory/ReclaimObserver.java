package dev.kumquatweir.gateway.memory;

/** Told of memory that reconciliation has freed. Implementations are thread-safe. */
public interface ReclaimObserver {
    /** An attempt that nobody owned was cancelled. */
    void attemptCancelled(long tokens);

    /** A KV export that nobody owned was released. */
    void exportReleased(long tokens);
}
