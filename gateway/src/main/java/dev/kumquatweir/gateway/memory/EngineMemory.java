package dev.kumquatweir.gateway.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.memory.EngineListing;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.concurrent.CompletionStage;

/**
 * Asks engines what they hold and has them free it. Implementations are thread-safe, never block,
 * and complete each stage within seconds.
 */
public interface EngineMemory {
    /** Completes with all that an engine holds; fails if the answer is not whole and readable. */
    CompletionStage<EngineListing> list(Announcement engine);

    /** Cancels an attempt; completes with false if the engine did not have it. */
    CompletionStage<Boolean> cancel(Announcement engine, AttemptId attempt);

    /** Releases a KV export; completes with false if the engine did not have it. */
    CompletionStage<Boolean> release(Announcement engine, String handle);
}
