package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.policy.dispatch.WorkRequest;

/**
 * Told of the course of each request. For each, refused is called alone, or admitted first and then
 * finished or failed. Implementations are thread-safe, quick and never block.
 */
public interface RequestObserver {
    /** Observes nothing. */
    RequestObserver NONE =
            new RequestObserver() {
                @Override
                public void refused(WorkRequest request, RequestFailure failure) {}

                @Override
                public void admitted(WorkRequest request) {}

                @Override
                public void tokenGap(WorkRequest request, long gapNanos) {}

                @Override
                public void finished(WorkRequest request, long firstTokenNanos, long nowNanos) {}

                @Override
                public void failed(WorkRequest request, RequestFailure failure) {}
            };

    /** The request was not admitted. */
    void refused(WorkRequest request, RequestFailure failure);

    /** The request was admitted. */
    void admitted(WorkRequest request);

    /** A token that is not the first came this long after the one before. */
    void tokenGap(WorkRequest request, long gapNanos);

    /**
     * The whole answer was given to the caller.
     *
     * @param firstTokenNanos when the first token came; the end for a plain service
     * @param nowNanos when it ended
     */
    void finished(WorkRequest request, long firstTokenNanos, long nowNanos);

    /** An admitted request failed, or its caller left. */
    void failed(WorkRequest request, RequestFailure failure);
}
