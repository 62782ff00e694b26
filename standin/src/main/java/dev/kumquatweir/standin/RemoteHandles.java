package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.EngineRefusal;
import dev.kumquatweir.standin.model.KvHandle;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.HostAndPort;
import io.vavr.control.Either;
import java.time.Duration;

/** Looks up exports on other engines over HTTP, with a connection for each look-up. */
final class RemoteHandles implements EngineHttpService.HandleSource {
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(2);

    @Override
    public Single<Either<EngineRefusal, KvHandle>> find(String address, String handle) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            return Single.succeeded(Either.left(EngineRefusal.MALFORMED));
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        HttpClient client =
                HttpClients.forResolvedAddress(HostAndPort.of(address.substring(0, colon), port))
                        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                        .build();
        return client.request(client.get("/engine/v1/requests"))
                .timeout(ANSWER_LIMIT)
                .map(response -> pick(response, handle))
                .onErrorReturn(failure -> Either.left(EngineRefusal.UNKNOWN_HANDLE))
                .afterFinally(() -> client.closeAsync().subscribe());
    }

    private static Either<EngineRefusal, KvHandle> pick(HttpResponse response, String handle) {
        byte[] body = new byte[response.payloadBody().readableBytes()];
        response.payloadBody().readBytes(body);
        return Json.read(body, EngineMessages.Requests.class)
                .toEither(EngineRefusal.UNKNOWN_HANDLE)
                .flatMap(
                        requests ->
                                requests.exports().stream()
                                        .filter(export -> export.handle().equals(handle))
                                        .findFirst()
                                        .<Either<EngineRefusal, KvHandle>>map(Either::right)
                                        .orElse(Either.left(EngineRefusal.UNKNOWN_HANDLE)));
    }
}
