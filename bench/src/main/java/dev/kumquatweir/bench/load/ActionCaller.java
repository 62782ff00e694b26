package dev.kumquatweir.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Sends actions that may not be repeated, sends them again under the same key while their outcome
 * is not known, and compares what the caller was told with the ledgers. Thread-safe.
 */
final class ActionCaller {
    private static final long RESEND_MILLIS = 200;
    private static final int FIRST_FAILURE_STATUS = 300;

    private final HttpClient mClient;
    private final LoadSettings mSettings;
    private final LoadTally mTally;
    private final ScheduledExecutorService mTimer;
    private final Map<String, Outcome> mOutcomes = new ConcurrentHashMap<>();

    private enum Outcome {
        CONFIRMED,
        NOT_RUN,
        UNKNOWN
    }

    private record Body(String key) {}

    ActionCaller(
            HttpClient client,
            LoadSettings settings,
            LoadTally tally,
            ScheduledExecutorService timer) {
        mClient = client;
        mSettings = settings;
        mTally = tally;
        mTimer = timer;
    }

    /** Sends an action; completes the end when its outcome is known or no try is left. */
    void call(PlannedCall.Action action, CompletableFuture<Void> end) {
        mTally.mActions.increment();
        send(action, 0, end);
    }

    /** Compares the outcomes that callers were told with the executions in all ledgers. */
    void checkLedgers() {
        if (mSettings.ledgers().isEmpty()) {
            return;
        }
        Map<String, Integer> executions = new HashMap<>();
        for (URI ledger : mSettings.ledgers()) {
            JsonNode counts = read(ledger);
            if (counts == null) {
                mTally.violation(Violation.LEDGER_UNREADABLE, ledger.toString());
                return;
            }
            counts.properties()
                    .forEach(
                            entry ->
                                    executions.merge(
                                            entry.getKey(),
                                            entry.getValue().asInt(),
                                            Integer::sum));
        }
        mOutcomes.forEach(
                (name, outcome) -> compare(name, outcome, executions.getOrDefault(name, 0)));
    }

    private void compare(String name, Outcome outcome, int executed) {
        if (executed > 1) {
            mTally.violation(Violation.EXECUTED_TWICE, name);
        }
        if (executed > 0 && outcome == Outcome.NOT_RUN) {
            mTally.violation(Violation.FALSE_NOT_RUN, name);
        }
        if (executed == 0 && outcome == Outcome.CONFIRMED) {
            mTally.violation(Violation.NOT_EXECUTED, name);
        }
    }

    private void send(PlannedCall.Action action, int attempt, CompletableFuture<Void> end) {
        HttpRequest request =
                HttpRequest.newBuilder(
                                action.target(mSettings.targets(), attempt).resolve(action.path()))
                        .header("Authorization", "Bearer " + mSettings.apiKey())
                        .header("Content-Type", "application/json")
                        .header("Idempotency-Key", action.name())
                        .timeout(Duration.ofMillis(mSettings.actionLimitMillis()))
                        .POST(
                                HttpRequest.BodyPublishers.ofByteArray(
                                        ErrorAnswer.bytes(new Body(action.name()))))
                        .build();
        CompletableFuture<Void> unused =
                mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                        .handle(
                                (response, failure) ->
                                        failure != null ? Outcome.UNKNOWN : judge(action, response))
                        .thenAccept(outcome -> ended(action, attempt, outcome, end))
                        .whenComplete((nothing, fault) -> failIfFault(end, fault));
    }

    private void ended(
            PlannedCall.Action action, int attempt, Outcome outcome, CompletableFuture<Void> end) {
        if (outcome == Outcome.UNKNOWN && attempt + 1 < mSettings.attempts()) {
            mTally.mResent.increment();
            ScheduledFuture<?> unused =
                    mTimer.schedule(
                            () -> send(action, attempt + 1, end),
                            RESEND_MILLIS * (attempt + 1),
                            TimeUnit.MILLISECONDS);
            return;
        }
        mOutcomes.put(action.name(), outcome);
        switch (outcome) {
            case CONFIRMED -> mTally.mConfirmed.increment();
            case NOT_RUN -> mTally.mNotRun.increment();
            case UNKNOWN -> mTally.mUnknown.increment();
        }
        end.complete(null);
    }

    /** A fault of this tool ends the run instead of leaving it waiting. */
    static void failIfFault(CompletableFuture<Void> end, @Nullable Throwable fault) {
        if (fault != null) {
            end.completeExceptionally(fault);
        }
    }

    private Outcome judge(PlannedCall.Action action, HttpResponse<String> response) {
        if (response.statusCode() < FIRST_FAILURE_STATUS) {
            JsonNode key = ErrorAnswer.json(response.body()).path("key");
            if (key.isTextual() && !key.asText().equals(action.name())) {
                mTally.violation(Violation.CROSSED, action.name());
            }
            return Outcome.CONFIRMED;
        }
        ErrorAnswer error = ErrorAnswer.of(response.body());
        mTally.error(error);
        return switch (error.ran()) {
            case "no" -> Outcome.NOT_RUN;
            case "yes" -> Outcome.CONFIRMED;
            default -> Outcome.UNKNOWN;
        };
    }

    private @Nullable JsonNode read(URI ledger) {
        HttpRequest request =
                HttpRequest.newBuilder(ledger.resolve("/standin/v1/ledger"))
                        .timeout(Duration.ofMillis(mSettings.actionLimitMillis()))
                        .build();
        JsonNode executions =
                mClient.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                        .handle((response, failure) -> failure == null ? response.body() : "")
                        .thenApply(body -> ErrorAnswer.json(body).path("executions"))
                        .join();
        return executions.isObject() ? executions : null;
    }
}
