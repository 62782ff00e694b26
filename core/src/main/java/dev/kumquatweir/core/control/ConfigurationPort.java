package dev.kumquatweir.core.control;

/** Gives the configuration in force. Implementations are thread-safe and never block. */
public interface ConfigurationPort {
    /**
     * Returns the newest configuration this instance has seen. The caller checks {@link
     * LeasedConfiguration#inForce} with the present time at the moment of sending.
     */
    LeasedConfiguration current();
}
