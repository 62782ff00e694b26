package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.gateway.dispatch.Exchange;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.http.HttpResponses;
import io.servicetalk.http.api.StreamingHttpResponse;
import java.util.concurrent.CompletableFuture;

/** Writes the response to a request for a plain service. Thread-safe. */
final class ServiceExchange implements Exchange {
    private final RequestId mId;
    private final HttpResponses mResponses;
    private final CompletableFuture<StreamingHttpResponse> mResponse;

    ServiceExchange(
            RequestId id,
            HttpResponses responses,
            CompletableFuture<StreamingHttpResponse> response) {
        mId = id;
        mResponses = responses;
        mResponse = response;
    }

    @Override
    public void token(String text) {
        throw new IllegalStateException("unexpected token from a plain service");
    }

    @Override
    public void finished(GenerationSummary summary, String text) {
        throw new IllegalStateException("call of a plain service ended with a generation result");
    }

    @Override
    public void answered(RecordedResponse response) {
        mResponse.complete(mResponses.recorded(response));
    }

    @Override
    public void failed(RequestFailure failure) {
        mResponse.complete(mResponses.errorResponse(failure, mId.value()));
    }
}
