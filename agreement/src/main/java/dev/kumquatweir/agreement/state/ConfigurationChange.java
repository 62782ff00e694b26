package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.identity.CommandId;

/**
 * One accepted configuration change. Immutable.
 *
 * @param version version that the change created
 * @param baseVersion version that the change was based on
 * @param changedBy operator who made the change
 * @param changedAtMillis time of the change by the leader's wall clock
 * @param command id of the operator command
 */
public record ConfigurationChange(
        long version,
        long baseVersion,
        String changedBy,
        long changedAtMillis,
        CommandId command) {}
