package dev.kumquatweir.gateway.oversize;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.concurrent.CompletionStage;

/**
 * The calls of engines that move KV caches. Implementations are thread-safe and never block; each
 * call completes within a limit and never exceptionally.
 */
public interface KvCalls {
    /** Exports the cache of an attempt whose prefill has ended. */
    CompletionStage<KvAnswer> export(Announcement engine, AttemptId attempt);

    /** Makes an export of a source readable on a target. */
    CompletionStage<KvAnswer> importKv(Announcement target, String handle, Announcement source);

    /** Releases an export or an import; a handle that is not there counts as released. */
    CompletionStage<KvAnswer> release(Announcement engine, String handle);
}
