package dev.kumquatweir.program.command;

import dev.kumquatweir.core.failure.FailureException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the files that commands send to an instance. Stateless. */
final class CommandFiles {
    private CommandFiles() {}

    /** Returns the text of a file; throws {@link FailureException} if reading fails. */
    static String read(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException exception) {
            throw new FailureException(
                    new ClientFailure.Input(
                            file + " can't be read: " + exception, "check the file name"));
        }
    }
}
