package dev.kumquatweir.program.system;

import dev.kumquatweir.platform.ControlService;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Puts routing documents with rising versions and notes which of them were confirmed. */
final class LossOperator implements AutoCloseable {
    private static final Duration PACE = Duration.ofMillis(100);
    private static final Duration PUT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);
    private static final Pattern VERSION = Pattern.compile("\"version\":([0-9]+)");

    private final HttpClient mClient =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private final Object mLock = new Object();
    private volatile List<LossNode> mNodes = List.of();
    private volatile boolean mStopped;
    private volatile boolean mPaused = true;
    private volatile long mSent;
    private volatile long mConfirmed;

    LossOperator() {
        Thread.ofVirtual().start(this::run);
    }

    /** Sets the instances that requests go to, in turn. */
    void use(List<LossNode> nodes) {
        mNodes = List.copyOf(nodes);
    }

    /** Puts documents at a steady pace from now on. */
    void resume() {
        mPaused = false;
    }

    /** Ends the puts at a steady pace; returns once none of them is under way. */
    void pause() {
        synchronized (mLock) {
            mPaused = true;
        }
    }

    long confirmed() {
        return mConfirmed;
    }

    long sent() {
        return mSent;
    }

    /** Puts one document; returns whether it was confirmed. */
    boolean put() {
        synchronized (mLock) {
            List<LossNode> nodes = mNodes;
            long version = mSent + 1;
            mSent = version;
            String document = "{\"version\":" + version + ",\"services\":[],\"tenants\":[]}";
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    nodes.get((int) (version % nodes.size()))
                                            .uri(ControlService.PUT_ROUTING))
                            .timeout(PUT_TIMEOUT)
                            .POST(HttpRequest.BodyPublishers.ofString(document))
                            .build();
            boolean confirmed = status(request) == 200;
            if (confirmed) {
                mConfirmed = version;
            }
            return confirmed;
        }
    }

    /** Asks all instances for the version in force; returns the lowest one that they answer. */
    OptionalLong read() {
        List<CompletableFuture<OptionalLong>> versions =
                mNodes.stream().map(this::readVersion).toList();
        return versions.stream()
                .map(CompletableFuture::join)
                .flatMapToLong(OptionalLong::stream)
                .min();
    }

    @Override
    public void close() {
        mStopped = true;
        mClient.shutdownNow();
    }

    private CompletableFuture<OptionalLong> readVersion(LossNode node) {
        HttpRequest request =
                HttpRequest.newBuilder(node.uri(ControlService.READ_ROUTING))
                        .timeout(READ_TIMEOUT)
                        .build();
        return mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(
                        (response, fault) ->
                                fault == null && response.statusCode() == 200
                                        ? version(response.body())
                                        : OptionalLong.empty());
    }

    private static OptionalLong version(String document) {
        Matcher matcher = VERSION.matcher(document);
        return OptionalLong.of(matcher.find() ? Long.parseLong(matcher.group(1)) : 0);
    }

    private void run() {
        while (!mStopped) {
            synchronized (mLock) {
                if (!mPaused) {
                    put();
                }
            }
            Waiting.during(PACE);
        }
    }

    private int status(HttpRequest request) {
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException unavailable) {
            return 0;
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }
}
