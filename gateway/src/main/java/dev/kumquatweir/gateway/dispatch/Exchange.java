package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;

/**
 * The caller's side of one request. Called by the request's {@link RunningRequest} only, one call
 * at a time. Exactly one of finished, answered and failed is called, last.
 */
public interface Exchange {
    /** The next token of the answer, in order, each once. */
    void token(String text);

    /** The generated answer is whole. */
    void finished(GenerationSummary summary, String text);

    /** A plain service's answer, whole. */
    void answered(RecordedResponse answer);

    /** The request failed. */
    void failed(RequestFailure failure);
}
