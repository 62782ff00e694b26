package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.agreement.state.StateResult;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Replies that wait for the end of a request to the replica. Not thread-safe. */
final class PendingReplies {
    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mLastRequestId;

    private record Pending(
            CompletableFuture<ControlReply> reply, Function<StateMachine, ControlReply> reader) {}

    /**
     * Takes a reply in.
     *
     * @param reply completed when the request ends
     * @param reader makes the reply of a request that ends without a result
     * @return the id of the request
     */
    long add(CompletableFuture<ControlReply> reply, Function<StateMachine, ControlReply> reader) {
        long id = ++mLastRequestId;
        mPending.put(id, new Pending(reply, reader));
        return id;
    }

    /** Takes in a reply to a request that ends without a result. */
    long add(CompletableFuture<ControlReply> reply) {
        return add(reply, state -> new ControlReply.Done());
    }

    /** Ends a request with the result of its log entry. */
    void completeApplied(long requestId, StateResult result) {
        complete(requestId, new ControlReply.Applied(result));
    }

    /** Ends a request that only waited for its turn. */
    void completeReady(long requestId, StateMachine state) {
        Pending pending = mPending.remove(requestId);
        if (pending != null) {
            pending.reply().complete(pending.reader().apply(state));
        }
    }

    /** Ends a request with a failure. */
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
