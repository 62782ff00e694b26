package dev.kumquatweir.standin;

import static io.servicetalk.concurrent.api.Single.succeeded;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import dev.kumquatweir.standin.EngineMessages.FaultOrder;
import dev.kumquatweir.standin.EngineMessages.FaultSwitched;
import dev.kumquatweir.standin.model.EngineRefusal;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** The HTTP side of a stand-in plain service. Thread-safe. */
final class PlainHttpService implements StreamingHttpService {
    private static final int SERVER_ERROR = 500;
    private static final long DEATH_DELAY_MILLIS = 50;
    private static final String KEY_HEADER = "idempotency-key";

    private final ActionLedger mLedger;
    private final String mPrefix;
    private final Runnable mDeath;
    private final Connections mConnections = new Connections();
    private final AtomicInteger mRunning = new AtomicInteger();
    private final Map<ServiceFault, Switch> mSwitches = new EnumMap<>(ServiceFault.class);

    /**
     * A fault that is on.
     *
     * @param number its number in the order, 0 if there was none
     * @param callsLeft calls that it will still hit
     */
    private record Switch(long number, long callsLeft) {}

    /**
     * Body of an answer.
     *
     * @param action number of the action
     * @param kind first part of the path
     * @param key key of the caller
     */
    private record Answer(long action, String kind, String key) {}

    private record Ledger(Map<String, Integer> executions, List<ActionLedger.Action> actions) {}

    PlainHttpService(ActionLedger ledger, String prefix, Runnable death) {
        mLedger = ledger;
        mPrefix = prefix;
        mDeath = death;
    }

    int running() {
        return mRunning.get();
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext connection,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory factory) {
        HttpAnswers answers =
                new HttpAnswers(factory, connection.executionContext().bufferAllocator());
        mConnections.seen(connection);
        if (mConnections.isSilent(connection)) {
            return Single.never();
        }
        return request.toRequest()
                .flatMap(
                        whole ->
                                switch (whole.method().name() + " " + whole.path()) {
                                    case "GET /standin/v1/ledger" ->
                                            succeeded(answers.json(HttpAnswers.OK, ledger()));
                                    case "POST /standin/v1/fault" ->
                                            succeeded(fault(connection, whole, answers));
                                    default -> act(connection, whole, answers);
                                });
    }

    private Ledger ledger() {
        return new Ledger(mLedger.executions(), mLedger.actions());
    }

    private Single<StreamingHttpResponse> act(
            HttpServiceContext connection, HttpRequest request, HttpAnswers answers) {
        if (!request.path().startsWith(mPrefix)) {
            ErrorBody.Fault fault = new ErrorBody.Fault("unknown_path", request.path(), "no");
            return succeeded(answers.json(HttpAnswers.NOT_FOUND, new ErrorBody(fault)));
        }
        if (hit(ServiceFault.CLOSE_BEFORE) != null) {
            return closed(connection);
        }
        mRunning.incrementAndGet();
        return execute(connection, request, answers).afterFinally(mRunning::decrementAndGet);
    }

    private Single<StreamingHttpResponse> execute(
            HttpServiceContext connection, HttpRequest request, HttpAnswers answers) {
        String rest = request.path().substring(mPrefix.length()).replaceFirst("^/+", "");
        String kind = rest.split("/", 2)[0];
        ActionLedger.Action action = mLedger.execute(kind, key(request));
        if (hit(ServiceFault.SILENT_AFTER) != null) {
            return Single.never();
        }
        if (hit(ServiceFault.CLOSE_AFTER) != null) {
            return closed(connection);
        }
        Switch error = hit(ServiceFault.ERROR_AFTER);
        if (error != null) {
            int status = error.number() > 0 ? (int) error.number() : SERVER_ERROR;
            ErrorBody body = ErrorBody.ran("service_error", "fault after the execution");
            return succeeded(answers.json(status, body));
        }
        Answer answer = new Answer(action.number(), action.kind(), action.key());
        Single<StreamingHttpResponse> response =
                Single.defer(() -> succeeded(answers.json(HttpAnswers.OK, answer)));
        Switch delay = hit(ServiceFault.DELAY);
        return delay == null
                ? response
                : connection
                        .executionContext()
                        .executor()
                        .timer(Duration.ofMillis(delay.number()))
                        .concat(response);
    }

    /** The key is in the header, else in the field {@code key} of the body. */
    private static String key(HttpRequest request) {
        CharSequence header = request.headers().get(KEY_HEADER);
        if (header != null) {
            return header.toString();
        }
        JsonNode body =
                Json.readTree(HttpAnswers.bytes(request)).getOrElse(MissingNode.getInstance());
        return body == null ? "" : body.path("key").asText("");
    }

    private static Single<StreamingHttpResponse> closed(HttpServiceContext connection) {
        return connection.closeAsync().concat(Single.failed(new ClosedChannelException()));
    }

    private StreamingHttpResponse fault(
            HttpServiceContext connection, HttpRequest request, HttpAnswers answers) {
        return Json.read(HttpAnswers.bytes(request), FaultOrder.class)
                .toJavaOptional()
                .flatMap(
                        order ->
                                ServiceFault.named(order.fault())
                                        .map(fault -> turn(fault, order, connection)))
                .map(switched -> answers.json(HttpAnswers.OK, switched))
                .orElseGet(() -> answers.refusal(EngineRefusal.MALFORMED));
    }

    private FaultSwitched turn(
            ServiceFault fault, FaultOrder order, HttpServiceContext connection) {
        if (fault == ServiceFault.SILENT) {
            mConnections.silenceAllBut(connection);
        } else if (fault == ServiceFault.DIE) {
            connection
                    .executionContext()
                    .executor()
                    .timer(Duration.ofMillis(DEATH_DELAY_MILLIS))
                    .afterFinally(mDeath)
                    .subscribe();
        } else {
            store(fault, order);
        }
        return new FaultSwitched(order.fault());
    }

    /** Value false ends a fault; a field {@code calls} bounds the calls that it hits. */
    private void store(ServiceFault fault, FaultOrder order) {
        JsonNode value = Objects.requireNonNullElse(order.value(), MissingNode.getInstance());
        synchronized (mSwitches) {
            if (value.isBoolean() && !value.asBoolean()) {
                mSwitches.remove(fault);
            } else {
                JsonNode plain = value.isObject() ? value.path("value") : value;
                long number = plain.isNumber() ? plain.asLong() : 0;
                long calls = value.path("calls").asLong(Long.MAX_VALUE);
                mSwitches.put(fault, new Switch(number, calls));
            }
        }
    }

    private @Nullable Switch hit(ServiceFault fault) {
        synchronized (mSwitches) {
            Switch found = mSwitches.get(fault);
            if (found == null) {
                return null;
            }
            if (found.callsLeft() <= 1) {
                mSwitches.remove(fault);
            } else {
                mSwitches.put(fault, new Switch(found.number(), found.callsLeft() - 1));
            }
            return found;
        }
    }
}
