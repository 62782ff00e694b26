package dev.kumquatweir.core.control;

/**
 * Provides the newest configuration and its lease. Implementations are thread-safe and never block.
 */
public interface ConfigurationPort {
    /**
     * Returns the newest configuration that this instance has received. Its lease may have expired:
     * the caller checks {@link LeasedConfiguration#inForce} right before it sends a request.
     */
    LeasedConfiguration current();
}
