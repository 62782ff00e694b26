package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.gateway.dispatch.Exchange;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.http.HttpResponses;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.concurrent.CompletableFuture;

/** The caller's side of a call of a plain service. Thread-safe. */
final class ServiceExchange implements Exchange {
    private final RequestId mId;
    private final HttpResponses mAnswers;
    private final CompletableFuture<StreamingHttpResponse> mResponse;

    ServiceExchange(
            RequestId id,
            HttpResponses answers,
            CompletableFuture<StreamingHttpResponse> response) {
        mId = id;
        mAnswers = answers;
        mResponse = response;
    }

    @Override
    public void token(String text) {
        throw new IllegalStateException("a plain service gave a token");
    }

    @Override
    public void finished(GenerationSummary summary, String text) {
        throw new IllegalStateException("a plain service ended a generation");
    }

    @Override
    public void answered(RecordedResponse answer) {
        mResponse.complete(mAnswers.recorded(answer));
    }

    @Override
    public void failed(RequestFailure failure) {
        mResponse.complete(mAnswers.errorResponse(failure, mId.value()));
    }
}
