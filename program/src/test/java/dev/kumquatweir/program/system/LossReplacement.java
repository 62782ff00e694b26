package dev.kumquatweir.program.system;

import java.time.Duration;

/** Way in which a voter is replaced before two further disks are lost. */
sealed interface LossReplacement {
    /**
     * A new instance starts; after the lead the old one is asked to stop and leaves for good.
     *
     * @param lead time between the two
     */
    record Planned(Duration lead) implements LossReplacement {}

    /** The old instance is killed and a new one starts a little later. */
    record Unplanned() implements LossReplacement {}

    /** The instance starts again at its address with an empty disk. */
    record EmptiedDisk() implements LossReplacement {}
}
