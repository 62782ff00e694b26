package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.raft.MembershipChange;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.core.identity.InstanceId;

/** What an instance asks of the leader. Each may be sent again after a lost answer. */
public sealed interface ControlRequest {
    /**
     * Appends a command to the log; the leader sets its time.
     *
     * @param command the command
     */
    record Propose(StateCommand command) implements ControlRequest {}

    /**
     * Reads a configuration document, linearizably.
     *
     * @param version the version wanted, 0 for the newest
     */
    record ReadConfiguration(long version) implements ControlRequest {}

    /**
     * Asks whether a version is in force everywhere.
     *
     * @param version the version
     */
    record ReadRollout(long version) implements ControlRequest {}

    /** Reads the routing document in force and the failure domains out of service, linearizably. */
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
     * Gives a configuration lease back, before a planned stop.
     *
     * @param instance the instance
     * @param processNonce random number of its process
     */
    record ReleaseLease(InstanceId instance, long processNonce) implements ControlRequest {}
}
