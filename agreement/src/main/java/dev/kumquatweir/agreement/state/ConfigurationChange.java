package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.CommandId;

/**
 * One accepted configuration change. Immutable.
 *
 * @param version version that it made
 * @param baseVersion version that it was made from
 * @param changedBy who asked
 * @param changedAtMillis when, by the leader's wall clock
 * @param command id of the operator's command
 */
public record ConfigurationChange(
        long version,
        long baseVersion,
        String changedBy,
        long changedAtMillis,
        CommandId command) {}
