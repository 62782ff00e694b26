package dev.kumquatweir.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import dev.kumquatweir.core.event.EventLog;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.HostAndPort;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Sends messages to one address out of a list and moves on to the next when one fails. Not
 * thread-safe: owned by the reporter's thread.
 */
final class KumquatweirClient implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(KumquatweirClient.class);
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(1);
    private static final int STATUS_OK = 200;

    private final List<InetSocketAddress> mAddresses;
    private final String mKey;
    private int mCurrent;
    private @Nullable HttpClient mClient;

    KumquatweirClient(List<InetSocketAddress> addresses, String key, int firstAddress) {
        mAddresses = List.copyOf(addresses);
        mKey = key;
        mCurrent = addresses.isEmpty() ? 0 : Math.floorMod(firstAddress, addresses.size());
    }

    /** Sends a message to the current address; after a failure the next one is current. */
    Try<JsonNode> post(String path, Object body) {
        if (mAddresses.isEmpty()) {
            return Try.failure(new IllegalStateException("no address of kumquatweir is set"));
        }
        return Try.of(() -> send(path, Json.write(body)))
                .flatMapTry(KumquatweirClient::content)
                .onFailure(failure -> rotate(path, failure));
    }

    int addressCount() {
        return mAddresses.size();
    }

    @Override
    public void close() {
        if (mClient != null) {
            mClient.closeAsync().subscribe();
            mClient = null;
        }
    }

    private HttpResponse send(String path, byte[] body) throws Exception {
        HttpClient client = mClient == null ? connect() : mClient;
        return client.request(
                        client.post(path)
                                .addHeader(HttpHeaderNames.AUTHORIZATION, "Bearer " + mKey)
                                .addHeader(HttpHeaderNames.CONTENT_TYPE, "application/json")
                                .payloadBody(
                                        client.executionContext().bufferAllocator().wrap(body)))
                .timeout(ANSWER_LIMIT)
                .toFuture()
                .get();
    }

    private HttpClient connect() {
        InetSocketAddress address = mAddresses.get(mCurrent);
        HttpClient client =
                HttpClients.forResolvedAddress(
                                HostAndPort.of(address.getHostString(), address.getPort()))
                        .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                        .build();
        mClient = client;
        return client;
    }

    private void rotate(String path, Throwable failure) {
        LOG.warn(
                "report_failed",
                "address",
                mAddresses.get(mCurrent),
                "path",
                path,
                "failure",
                failure);
        close();
        mCurrent = (mCurrent + 1) % mAddresses.size();
    }

    private static Try<JsonNode> content(HttpResponse response) {
        if (response.status().code() != STATUS_OK) {
            return Try.failure(new IllegalStateException("answered " + response.status()));
        }
        byte[] body = new byte[response.payloadBody().readableBytes()];
        response.payloadBody().readBytes(body);
        return body.length == 0 ? Json.readTree("{}".getBytes(UTF_8)) : Json.readTree(body);
    }
}
