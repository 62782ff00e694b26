package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * Removes expired claims from the replicated claim table. Each log entry removes a bounded number
 * of claims; the next one is proposed only after the previous one has been applied.
 */
final class ClaimExpiry {
    private ClaimExpiry() {}

    /**
     * Proposes expiry commands until the end of the table is reached, starting where the last run
     * stopped.
     *
     * @param requestHandler executes the control requests
     */
    static void run(Function<ControlRequest, CompletionStage<ControlReply>> requestHandler) {
        requestHandler
                .apply(new ControlRequest.Propose(new StateCommand.Expire(0)))
                .thenAccept(
                        reply -> {
                            if (reply instanceof ControlReply.Applied applied
                                    && applied.result() instanceof StateResult.Expired expired
                                    && !expired.wrapped()) {
                                run(requestHandler);
                            }
                        });
    }
}
