package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Removes expired claims in bounded steps, one log entry after the other, to the table's end. */
final class ClaimExpiry {
    private ClaimExpiry() {}

    /**
     * Begins at the place where the last run ended.
     *
     * @param requestHandler carries out the requests
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
