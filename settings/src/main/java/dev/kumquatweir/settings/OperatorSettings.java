package dev.kumquatweir.settings;

import dev.kumquatweir.core.configuration.ApiKeyHash;

/**
 * An operator who may change the configuration. Immutable.
 *
 * @param name name that changes are recorded under
 * @param keyHash salted hash of the operator's key
 */
public record OperatorSettings(String name, ApiKeyHash keyHash) {}
