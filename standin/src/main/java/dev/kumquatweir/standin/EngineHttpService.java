package dev.kumquatweir.standin;

import static io.servicetalk.concurrent.api.Single.succeeded;

import dev.kumquatweir.standin.model.EngineOrder;
import dev.kumquatweir.standin.model.EngineRefusal;
import dev.kumquatweir.standin.model.GenerateRequest;
import dev.kumquatweir.standin.model.KvHandle;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.vavr.control.Either;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** The HTTP side of a stand-in engine. Thread-safe. */
final class EngineHttpService implements StreamingHttpService {
    private static final String STANDIN_PREFIX = "/standin/v1/";

    private final EngineRuntime mRuntime;
    private final EngineFaultSwitches mFaults;
    private final HandleSource mHandles;
    private final boolean mCancelsOnDisconnect;
    private final Single<EngineMessages.State> mState;

    EngineHttpService(
            EngineRuntime runtime,
            EngineFaultSwitches faults,
            HandleSource handles,
            boolean cancelsOnDisconnect,
            Single<EngineMessages.State> state) {
        mRuntime = runtime;
        mFaults = faults;
        mHandles = handles;
        mCancelsOnDisconnect = cancelsOnDisconnect;
        mState = state;
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext connection,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory factory) {
        HttpAnswers answers =
                new HttpAnswers(factory, connection.executionContext().bufferAllocator());
        Connections connections = mFaults.connections();
        connections.seen(connection);
        if (connections.isSilent(connection)) {
            return Single.never();
        }
        Single<StreamingHttpResponse> answer =
                request.toRequest().flatMap(whole -> route(connection, whole, answers));
        if (request.path().startsWith(STANDIN_PREFIX)) {
            return answer;
        }
        return mFaults.whenThawed()
                .concat(answer)
                .flatMap(
                        response ->
                                connections.isSilent(connection)
                                        ? Single.never()
                                        : succeeded(response));
    }

    private Single<StreamingHttpResponse> route(
            HttpServiceContext connection, HttpRequest request, HttpAnswers answers) {
        return switch (request.method().name() + " " + request.path()) {
            case "POST /engine/v1/generate" -> generate(connection, request, answers);
            case "POST /v1/chat/completions" -> chat(connection, request, answers);
            case "POST /engine/v1/cancel" ->
                    with(request, answers, EngineMessages.AttemptName.class, this::cancel);
            case "GET /engine/v1/requests" ->
                    requests().map(list -> answers.json(HttpAnswers.OK, list));
            case "POST /engine/v1/kv/export" ->
                    with(request, answers, EngineMessages.AttemptName.class, this::export);
            case "POST /engine/v1/kv/import" ->
                    with(request, answers, EngineMessages.Import.class, this::include);
            case "POST /engine/v1/kv/release" ->
                    with(request, answers, EngineMessages.HandleName.class, this::release);
            case "POST /engine/v1/orders" -> with(request, answers, EngineOrder.class, this::order);
            case "POST /standin/v1/fault" -> fault(connection, request, answers);
            case "GET /standin/v1/state" ->
                    mState.map(state -> answers.json(HttpAnswers.OK, state));
            default ->
                    succeeded(
                            answers.json(
                                    HttpAnswers.NOT_FOUND,
                                    new ErrorBody(
                                            new ErrorBody.Fault(
                                                    "unknown_path",
                                                    "there is no " + request.path(),
                                                    "no"))));
        };
    }

    private Single<StreamingHttpResponse> generate(
            HttpServiceContext connection, HttpRequest request, HttpAnswers answers) {
        return Json.read(HttpAnswers.bytes(request), GenerateRequest.class)
                .fold(
                        failure -> succeeded(answers.refusal(EngineRefusal.MALFORMED)),
                        body -> start(connection, body, new EngineEventFormat(), answers));
    }

    /** Serves callers without kumquatweir in between, as a baseline for load runs. */
    private Single<StreamingHttpResponse> chat(
            HttpServiceContext connection, HttpRequest request, HttpAnswers answers) {
        String attempt = "chat-" + UUID.randomUUID();
        return Json.read(HttpAnswers.bytes(request), ChatMessages.class)
                .fold(
                        failure -> succeeded(answers.refusal(EngineRefusal.MALFORMED)),
                        body ->
                                start(
                                        connection,
                                        body.toRequest(attempt),
                                        new ChatEventFormat(attempt, body.model()),
                                        answers));
    }

    private Single<StreamingHttpResponse> start(
            HttpServiceContext connection,
            GenerateRequest request,
            EventFormat format,
            HttpAnswers answers) {
        Connections connections = mFaults.connections();
        TokenStream stream =
                new TokenStream(
                        format, answers.allocator(), () -> connections.isSilent(connection));
        return mRuntime.generate(request, stream)
                .map(result -> streamed(request, stream, result, answers));
    }

    private StreamingHttpResponse streamed(
            GenerateRequest request,
            TokenStream stream,
            Either<EngineRefusal, TokenStream> result,
            HttpAnswers answers) {
        if (result.isLeft()) {
            return answers.refusal(result.getLeft());
        }
        return answers.events(
                stream.reader().beforeCancel(() -> disconnected(request.attempt(), stream)));
    }

    private void disconnected(String attempt, TokenStream stream) {
        // An engine behind a lost connection is not told of the disconnect and goes on.
        if (mCancelsOnDisconnect && !stream.silent()) {
            mRuntime.cancelLater(attempt);
        }
    }

    private Single<Either<EngineRefusal, EngineMessages.Cancelled>> cancel(
            EngineMessages.AttemptName name) {
        return mRuntime.cancel(name.attempt())
                .map(cancelled -> Either.right(new EngineMessages.Cancelled(cancelled)));
    }

    private Single<EngineMessages.Requests> requests() {
        return mRuntime.ask(
                model ->
                        new EngineMessages.Requests(
                                model.heldMemory().entrySet().stream()
                                        .map(
                                                entry ->
                                                        new EngineMessages.RequestMemory(
                                                                entry.getKey(), entry.getValue()))
                                        .toList(),
                                model.exports()));
    }

    private Single<Either<EngineRefusal, KvHandle>> export(EngineMessages.AttemptName name) {
        return mRuntime.ask(model -> model.export(name.attempt()));
    }

    private Single<Either<EngineRefusal, KvHandle>> include(EngineMessages.Import order) {
        return mHandles.find(order.source(), order.handle())
                .flatMap(
                        found ->
                                mRuntime.ask(
                                        model -> {
                                            found.forEach(model::include);
                                            return found;
                                        }));
    }

    private Single<Either<EngineRefusal, EngineMessages.Released>> release(
            EngineMessages.HandleName name) {
        return mRuntime.ask(
                model -> Either.right(new EngineMessages.Released(model.release(name.handle()))));
    }

    private Single<Either<EngineRefusal, EngineMessages.OrderTaken>> order(EngineOrder order) {
        return mRuntime.askOrders(
                orders ->
                        orders.take(order, System.nanoTime())
                                .map(TimeUnit.NANOSECONDS::toMillis)
                                .map(EngineMessages.OrderTaken::new));
    }

    private Single<StreamingHttpResponse> fault(
            HttpServiceContext connection, HttpRequest request, HttpAnswers answers) {
        return Json.read(HttpAnswers.bytes(request), EngineMessages.FaultOrder.class)
                .fold(
                        failure -> succeeded(answers.refusal(EngineRefusal.MALFORMED)),
                        order -> mFaults.apply(order, connection).map(answers::either));
    }

    private static <B, R> Single<StreamingHttpResponse> with(
            HttpRequest request,
            HttpAnswers answers,
            Class<B> type,
            Function<B, Single<Either<EngineRefusal, R>>> call) {
        return Json.read(HttpAnswers.bytes(request), type)
                .fold(
                        failure -> succeeded(answers.refusal(EngineRefusal.MALFORMED)),
                        body -> call.apply(body).map(answers::either));
    }

    /** Finds an export on another engine. */
    interface HandleSource {
        /** Looks a handle up at an engine's address; it is a refusal if it is not there. */
        Single<Either<EngineRefusal, KvHandle>> find(String address, String handle);
    }
}
