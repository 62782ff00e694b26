package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.raft.MembershipChange;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.core.identity.InstanceId;

/** Request of an instance to the leader. Each one is safe to retry after a lost reply. */
public sealed interface ControlRequest {
    /**
     * Appends a command to the log. The leader sets the time of the command.
     *
     * @param command the command
     */
    record Propose(StateCommand command) implements ControlRequest {}

    /**
     * Reads a configuration document with a linearizable read.
     *
     * @param version the requested version, 0 for the newest
     */
    record ReadConfiguration(long version) implements ControlRequest {}

    /**
     * Reads whether a configuration version is in force on all instances.
     *
     * @param version the version
     */
    record ReadRollout(long version) implements ControlRequest {}

    /**
     * Reads the routing document in force and the failure domains out of service with a
     * linearizable read.
     */
    record ReadRouting() implements ControlRequest {}

    /** Reads the members of the group. */
    record ReadMembers() implements ControlRequest {}

    /**
     * Changes the members of the group.
     *
     * @param change the change
     */
    record ChangeMembers(MembershipChange change) implements ControlRequest {}

    /**
     * Releases a configuration lease before a planned stop.
     *
     * @param instance the instance
     * @param processNonce random number that identifies the instance's process
     */
    record ReleaseLease(InstanceId instance, long processNonce) implements ControlRequest {}
}
