package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.agreement.state.StateResult;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Replies of the requests that the replica has not completed yet. Not thread-safe. */
final class PendingReplies {
    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mLastRequestId;

    private record Pending(
            CompletableFuture<ControlReply> reply, Function<StateMachine, ControlReply> reader) {}

    /**
     * Registers the reply of a request.
     *
     * @param reply completed when the request ends
     * @param reader creates the reply from the state machine for a request without a result of its
     *     own, such as a read
     * @return id assigned to the request
     */
    long add(CompletableFuture<ControlReply> reply, Function<StateMachine, ControlReply> reader) {
        long id = ++mLastRequestId;
        mPending.put(id, new Pending(reply, reader));
        return id;
    }

    /** Registers the reply of a request that ends without a result. */
    long add(CompletableFuture<ControlReply> reply) {
        return add(reply, state -> new ControlReply.Done());
    }

    /** Completes a request with the result of its log entry. */
    void completeApplied(long requestId, StateResult result) {
        complete(requestId, new ControlReply.Applied(result));
    }

    /** Completes a request that has no log entry, such as a linearizable read. */
    void completeReady(long requestId, StateMachine state) {
        Pending pending = mPending.remove(requestId);
        if (pending != null) {
            pending.reply().complete(pending.reader().apply(state));
        }
    }

    /** Completes a request with a failure. */
    void completeFailed(long requestId, ControlFailure failure) {
        complete(requestId, new ControlReply.Failed(failure));
    }

    private void complete(long requestId, ControlReply reply) {
        Pending pending = mPending.remove(requestId);
        if (pending != null) {
            pending.reply().complete(reply);
        }
    }
}
