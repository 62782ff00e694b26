package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.CommandId;

/** The configuration that a new cluster begins with. Holds no state. */
final class FirstConfiguration {
    private static final CommandId COMMAND_ID = new CommandId("first-configuration");

    private FirstConfiguration() {}

    /** Returns the command; it has a fixed id, so that a second leader's copy changes nothing. */
    static StateCommand command(Bytes document) {
        return new StateCommand.ApplyConfiguration(0, COMMAND_ID, "settings", 0, document);
    }
}
