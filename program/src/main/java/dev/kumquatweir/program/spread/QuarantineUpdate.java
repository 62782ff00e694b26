package dev.kumquatweir.program.spread;

import dev.kumquatweir.policy.quarantine.ExclusiveUse;
import dev.kumquatweir.policy.quarantine.QuarantineMark;
import java.util.List;

/**
 * What one instance tells the others of its quarantine. Immutable.
 *
 * @param marks some of its marks
 * @param exclusiveUses all upstreams that it keeps for suspects
 */
record QuarantineUpdate(List<QuarantineMark> marks, List<ExclusiveUse> exclusiveUses) {
    /** Copies the lists, so that the record is immutable. */
    QuarantineUpdate {
        marks = List.copyOf(marks);
        exclusiveUses = List.copyOf(exclusiveUses);
    }
}
