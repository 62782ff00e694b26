package dev.kumquatweir.bench.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.kumquatweir.standin.model.StandinTokens;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscribers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/** Sends streamed chat completions and verifies their answers. Thread-safe. */
final class ChatCaller {
    private final HttpClient mClient;
    private final LoadSettings mSettings;
    private final LoadTally mTally;
    private final ScheduledExecutorService mTimer;

    ChatCaller(
            HttpClient client,
            LoadSettings settings,
            LoadTally tally,
            ScheduledExecutorService timer) {
        mClient = client;
        mSettings = settings;
        mTally = tally;
        mTimer = timer;
    }

    private record Message(String role, String content) {}

    private record Body(
            String model,
            boolean stream,
            @JsonProperty("max_tokens") long maxTokens,
            List<Message> messages) {}

    /** One request with what all its tries share. */
    private record Exchange(
            PlannedCall.Chat chat,
            HttpRequest.BodyPublisher body,
            long seed,
            long plannedNanos,
            CompletableFuture<Void> end) {}

    /**
     * Sends a request; it is measured from its planned time, so that a late start of this tool
     * counts against the answer.
     *
     * @param chat the request
     * @param plannedNanos when it was to be sent
     * @param end completed when the answer has ended in whatever way
     */
    void call(PlannedCall.Chat chat, long plannedNanos, CompletableFuture<Void> end) {
        String prompt = PromptText.of(chat, mSettings.prefixTokens());
        long seed = StandinTokens.seed(prompt);
        mTally.register(seed);
        Body body =
                new Body(
                        mSettings.model(),
                        true,
                        chat.lengthClass().outputTokens(),
                        List.of(new Message("user", prompt)));
        Exchange exchange =
                new Exchange(
                        chat,
                        HttpRequest.BodyPublishers.ofByteArray(ErrorAnswer.bytes(body)),
                        seed,
                        plannedNanos,
                        end);
        mTally.mChats.increment();
        mTally.streamStarted();
        send(exchange, 0);
    }

    private void send(Exchange exchange, int attempt) {
        PlannedCall.Chat chat = exchange.chat();
        AnswerVerifier verifier =
                new AnswerVerifier(exchange.seed(), chat.lengthClass().outputTokens(), mTally);
        ChatStream stream = new ChatStream(verifier, new TokenTimes(exchange));
        CompletableFuture<HttpResponse<Void>> response =
                mClient.sendAsync(
                        request(exchange, attempt),
                        information -> {
                            stream.status(information.statusCode());
                            return BodySubscribers.fromLineSubscriber(stream);
                        });
        long limitMillis = chat.lengthClass().timeLimitMillis() + mSettings.graceMillis();
        long leftNanos =
                exchange.plannedNanos()
                        + TimeUnit.MILLISECONDS.toNanos(limitMillis)
                        - System.nanoTime();
        // The client may fail the response before it marks it as cancelled, so that the future
        // alone can't tell an expired limit from a broken connection.
        AtomicBoolean expired = new AtomicBoolean();
        ScheduledFuture<?> limit =
                mTimer.schedule(
                        () -> {
                            expired.set(true);
                            response.cancel(true);
                        },
                        leftNanos,
                        TimeUnit.NANOSECONDS);
        CompletableFuture<Void> unused =
                response.handle(
                                (whole, failure) -> {
                                    limit.cancel(false);
                                    ended(exchange, attempt, stream, expired.get(), failure);
                                    return whole;
                                })
                        .thenAccept(whole -> {})
                        .whenComplete(
                                (nothing, fault) ->
                                        ActionCaller.failIfFault(exchange.end(), fault));
    }

    private HttpRequest request(Exchange exchange, int attempt) {
        LengthClass lengthClass = exchange.chat().lengthClass();
        URI target = exchange.chat().target(mSettings.targets(), attempt);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(target.resolve("/v1/chat/completions"))
                        .header("Authorization", "Bearer " + mSettings.apiKey())
                        .header("Content-Type", "application/json")
                        .header(
                                "Kumquatweir-Timeout-Ms",
                                Long.toString(lengthClass.timeLimitMillis()))
                        .POST(exchange.body());
        if (lengthClass.profile() != null) {
            request.header("Kumquatweir-Profile", lengthClass.profile());
        }
        return request.build();
    }

    private void ended(
            Exchange exchange,
            int attempt,
            ChatStream stream,
            boolean expired,
            @Nullable Throwable failure) {
        boolean neverBegan = failure != null && !expired && !stream.began();
        if (neverBegan && attempt + 1 < mSettings.attempts()) {
            mTally.mResent.increment();
            send(exchange, attempt + 1);
            return;
        }
        mTally.streamEnded();
        judge(exchange, stream, expired && failure != null, failure != null);
        exchange.end().complete(null);
    }

    private void judge(Exchange exchange, ChatStream stream, boolean lost, boolean broken) {
        String name = exchange.chat().name();
        AnswerVerifier verifier = stream.verifier();
        ErrorAnswer error = stream.error();
        if (verifier.violation().isPresent()) {
            mTally.violation(verifier.violation().get(), name);
        } else if (lost) {
            mTally.violation(Violation.LOST, name);
        } else if (broken) {
            mTally.mInterrupted.increment();
            if (!mSettings.toleratesInterruptions()) {
                mTally.violation(Violation.INTERRUPTED, name);
            }
        } else if (error != null) {
            mTally.error(error);
            (error.notRun() ? mTally.mRefused : mTally.mFailed).increment();
        } else if (!verifier.isDone()) {
            mTally.violation(Violation.TRUNCATED, name);
        } else {
            mTally.mCompleted.increment();
            mTally.total(
                    exchange.chat().lengthClass(), System.nanoTime() - exchange.plannedNanos());
        }
    }

    /** Records the times of the parts of one answer. */
    private final class TokenTimes implements ChatStream.TokenObserver {
        private final Exchange mExchange;
        private long mLastNanos;
        private boolean mBegan;

        private TokenTimes(Exchange exchange) {
            mExchange = exchange;
        }

        @Override
        public void tokens(long count) {
            long nowNanos = System.nanoTime();
            mTally.mTokens.add(count);
            if (mBegan) {
                mTally.mBetweenTokens.recordNanos(nowNanos - mLastNanos);
            } else {
                mTally.firstToken(
                        mExchange.chat().lengthClass(), nowNanos - mExchange.plannedNanos());
            }
            mBegan = true;
            mLastNanos = nowNanos;
        }
    }
}
