package dev.kumquatweir.program.control;

import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.program.permit.PermitPort;
import java.util.concurrent.CompletionStage;

/** An instance's connection to the agreed state. Implementations are thread-safe. */
public interface ControlPlane {
    /** Starts to take part. */
    void start();

    /** Returns the configuration in force here. */
    ConfigurationPort configuration();

    /** Returns what decides claims. */
    ClaimPort claims();

    /** Returns what reaches the leader's ledger of shared limits. */
    PermitPort permits();

    /**
     * Asks the leader.
     *
     * @param limitNanos time until the stage completes with {@link
     *     ControlFailure.LeaderUnreachable}
     */
    CompletionStage<ControlReply> submit(ControlRequest request, long limitNanos);

    /** Returns how far the replica of this instance is. */
    ReplicaStatus replicaStatus();

    /** Hands leadership over and gives leases back, before a planned stop. Waits up to 2 s. */
    void handOver();

    /** Stops taking part. */
    void stop();
}
