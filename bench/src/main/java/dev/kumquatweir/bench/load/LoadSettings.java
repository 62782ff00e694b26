package dev.kumquatweir.bench.load;

import java.net.URI;
import java.util.List;

/** What a run does. Built by {@link LoadRunner.Builder}. */
record LoadSettings(
        List<URI> targets,
        String apiKey,
        String model,
        String runName,
        long seed,
        long durationMillis,
        double chatsPerSecond,
        List<LengthClass> lengthClasses,
        int prefixGroups,
        long prefixTokens,
        double actionsPerSecond,
        List<String> actionPaths,
        List<URI> ledgers,
        int attempts,
        long actionLimitMillis,
        long graceMillis,
        long progressMillis,
        long baselineMillis,
        boolean toleratesInterruptions) {

    LoadSettings {
        targets = List.copyOf(targets);
        lengthClasses = List.copyOf(lengthClasses);
        actionPaths = List.copyOf(actionPaths);
        ledgers = List.copyOf(ledgers);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("at least one target is needed");
        }
        if (chatsPerSecond > 0 && lengthClasses.isEmpty()) {
            throw new IllegalArgumentException("chats need at least one length class");
        }
        if (actionsPerSecond > 0 && actionPaths.isEmpty()) {
            throw new IllegalArgumentException("actions need at least one path");
        }
    }
}
