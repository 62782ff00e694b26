package dev.kumquatweir.program.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Sends operators' requests to the instances of a cluster. */
final class OperatorCaller {
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final Duration LIMIT = Duration.ofMinutes(3);

    private OperatorCaller() {}

    static Caller.Answer get(LocalCluster cluster, int instance, String path) {
        return sendOrFail(request(cluster, instance, path, LocalCluster.OPERATOR_KEY));
    }

    /** Gets; the status is 0 if the connection can't be made or breaks. */
    static Caller.Answer tryGet(LocalCluster cluster, int instance, String path) {
        return send(request(cluster, instance, path, LocalCluster.OPERATOR_KEY));
    }

    static Caller.Answer post(
            LocalCluster cluster, int instance, String key, String path, JsonNode body) {
        return sendOrFail(withBody(request(cluster, instance, path, key), body));
    }

    /** Posts; the status is 0 if the connection can't be made or breaks. */
    static Caller.Answer tryPost(LocalCluster cluster, int instance, String path, JsonNode body) {
        return send(withBody(request(cluster, instance, path, LocalCluster.OPERATOR_KEY), body));
    }

    private static HttpRequest.Builder request(
            LocalCluster cluster, int instance, String path, String key) {
        return HttpRequest.newBuilder(
                        URI.create(cluster.operatorUrl(instance) + "/operator/v1/" + path))
                .timeout(LIMIT)
                .header("Authorization", "Bearer " + key);
    }

    private static HttpRequest.Builder withBody(HttpRequest.Builder request, JsonNode body) {
        return request.POST(HttpRequest.BodyPublishers.ofString(body.toString()));
    }

    private static Caller.Answer sendOrFail(HttpRequest.Builder request) {
        Caller.Answer answer = send(request);
        if (answer.status() == 0) {
            throw new AssertionError("no answer: " + request.build().uri());
        }
        return answer;
    }

    private static Caller.Answer send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response =
                    CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Caller.Answer(response.statusCode(), response.body());
        } catch (IOException exception) {
            return new Caller.Answer(0, "");
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }
}
