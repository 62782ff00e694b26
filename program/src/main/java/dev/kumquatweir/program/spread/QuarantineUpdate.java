package dev.kumquatweir.program.spread;

import dev.kumquatweir.policy.quarantine.ExclusiveUse;
import dev.kumquatweir.policy.quarantine.QuarantineMark;
import java.util.List;

/**
 * Quarantine state that one instance sends to the others. Immutable.
 *
 * @param marks some of the marks of the sender
 * @param exclusiveUses all upstreams that the sender reserves for suspected requests
 */
record QuarantineUpdate(List<QuarantineMark> marks, List<ExclusiveUse> exclusiveUses) {
    /** Copies the lists to make the record immutable. */
    QuarantineUpdate {
        marks = List.copyOf(marks);
        exclusiveUses = List.copyOf(exclusiveUses);
    }
}
