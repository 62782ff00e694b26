package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.CommandId;

/** Creates the command that stores the first configuration of a new cluster. */
final class FirstConfiguration {
    private static final CommandId COMMAND_ID = new CommandId("first-configuration");

    private FirstConfiguration() {}

    /**
     * Returns the command. Its id is fixed, so that the same command proposed by a second leader
     * has no effect.
     */
    static StateCommand command(Bytes document) {
        return new StateCommand.ApplyConfiguration(0, COMMAND_ID, "settings", 0, document);
    }
}
