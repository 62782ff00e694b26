package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.StorageFailure;
import java.io.IOException;

/** Ends the reading of damaged content within this package. */
final class DamageException extends IOException {
    private final transient StorageFailure.Corrupted mFailure;

    DamageException(String file, long offset, String problem) {
        super(file + " at byte " + offset + ": " + problem);
        mFailure = new StorageFailure.Corrupted(file + " at byte " + offset, problem);
    }

    StorageFailure.Corrupted failure() {
        return mFailure;
    }
}
