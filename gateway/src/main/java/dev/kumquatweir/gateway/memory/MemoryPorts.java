package dev.kumquatweir.gateway.memory;

import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * What {@link MemoryDuty} uses of its surroundings. Thread-safe, as its parts are.
 *
 * @param engines asks the engines
 * @param held what this instance needs on engines
 * @param upstreams asks for the upstreams known here
 * @param configuration tells the time limits of profiles
 * @param observer told of memory that was freed
 * @param onTick run every second on the duty's thread; must not block
 */
public record MemoryPorts(
        EngineMemory engines,
        HeldMemory held,
        Supplier<CompletionStage<List<Announcement>>> upstreams,
        ConfigurationPort configuration,
        ReclaimObserver observer,
        Runnable onTick) {}
