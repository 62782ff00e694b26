package dev.kumquatweir.standin;

import static io.servicetalk.concurrent.api.Processors.newCompletableProcessor;
import static io.servicetalk.concurrent.api.Single.succeeded;
import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.standin.EngineMessages.FaultOrder;
import dev.kumquatweir.standin.EngineMessages.FaultSwitched;
import dev.kumquatweir.standin.model.EngineModel;
import dev.kumquatweir.standin.model.EngineRefusal;
import io.servicetalk.concurrent.CompletableSource;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.vavr.control.Either;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Switches the faults of a stand-in engine. Thread-safe. */
final class EngineFaultSwitches {
    private static final EventLog LOG = EventLog.of(EngineFaultSwitches.class);

    /** Lets the answer to the command leave before the process ends. */
    private static final long DEATH_DELAY_MILLIS = 50;

    private final EngineRuntime mRuntime;
    private final CacheEventQueue mCacheEvents;
    private final LoadHistory mLoadHistory;
    private final Consumer<Boolean> mPauseReports;
    private final Runnable mDeath;
    private final Connections mConnections = new Connections();
    private volatile CompletableSource.@Nullable Processor mFrozen;

    EngineFaultSwitches(
            EngineRuntime runtime,
            CacheEventQueue cacheEvents,
            LoadHistory loadHistory,
            Consumer<Boolean> pauseReports,
            Runnable death) {
        mRuntime = runtime;
        mCacheEvents = cacheEvents;
        mLoadHistory = loadHistory;
        mPauseReports = pauseReports;
        mDeath = death;
    }

    Connections connections() {
        return mConnections;
    }

    /** Completes at once, or at the end of the freeze. */
    Completable whenThawed() {
        return Completable.defer(
                () -> {
                    CompletableSource.Processor frozen = mFrozen;
                    return frozen == null ? Completable.completed() : fromSource(frozen);
                });
    }

    /** Lets waiting calls go on after a freeze. */
    void thawed() {
        CompletableSource.Processor frozen = mFrozen;
        mFrozen = null;
        mPauseReports.accept(false);
        if (frozen != null) {
            frozen.onComplete();
        }
    }

    /** Switches a fault; an unknown fault or a value that does not fit it is refused. */
    Single<Either<EngineRefusal, FaultSwitched>> apply(
            FaultOrder order, HttpServiceContext connection) {
        JsonNode value = Objects.requireNonNullElse(order.value(), NullNode.getInstance());
        LOG.info("fault_switched", "fault", order.fault(), "value", value);
        return switch (order.fault()) {
            case "cold" -> onModel(order, model -> cold(model, value));
            case "freeze" -> done(order, () -> freeze(value));
            case "silent" -> done(order, () -> mConnections.silenceAllBut(connection));
            case "die" -> done(order, () -> mRuntime.later(DEATH_DELAY_MILLIS, mDeath));
            case "drop_cache_events" -> done(order, () -> mCacheEvents.dropNext(count(value)));
            case "lag" -> done(order, () -> mLoadHistory.setLag(value.asLong(0)));
            case "fall_over" -> done(order, () -> mRuntime.crash("fall_over"));
            case "drop_cancels" ->
                    onModel(order, model -> model.faults().dropCancels(switchedOn(value)));
            case "refuse" -> refuse(order, value);
            case "crash_on" ->
                    value.isTextual()
                            ? onModel(order, model -> model.faults().crashOn(value.asText()))
                            : malformed();
            case "crash_on_answer" ->
                    value.isTextual()
                            ? onModel(order, model -> model.faults().crashOnAnswer(value.asText()))
                            : malformed();
            default -> malformed();
        };
    }

    private static void cold(EngineModel model, JsonNode value) {
        boolean hidden = value.asText("").equals("hidden");
        model.faults().hideCold(hidden);
        model.setCold(hidden || switchedOn(value), System.nanoTime());
    }

    private void freeze(JsonNode value) {
        if (!switchedOn(value)) {
            mRuntime.thaw();
            return;
        }
        if (mFrozen == null) {
            mFrozen = newCompletableProcessor();
        }
        mPauseReports.accept(true);
        // The number of a boolean is 1 in Jackson, which is no time here.
        mRuntime.freeze(value.isNumber() ? value.asLong() : 0);
    }

    private Single<Either<EngineRefusal, FaultSwitched>> refuse(FaultOrder order, JsonNode value) {
        if (!switchedOn(value)) {
            return onModel(order, model -> model.faults().refuseAll(null));
        }
        EngineRefusal refusal = value.isTextual() ? named(value.asText()) : EngineRefusal.DRAINING;
        return refusal == null
                ? malformed()
                : onModel(order, model -> model.faults().refuseAll(refusal));
    }

    private static @Nullable EngineRefusal named(String code) {
        for (EngineRefusal refusal : EngineRefusal.values()) {
            if (refusal.code().equals(code.toLowerCase(Locale.ROOT))) {
                return refusal;
            }
        }
        return null;
    }

    /** A fault without a value is switched on. */
    private static boolean switchedOn(JsonNode value) {
        return value.isNull() || value.isTextual() || value.asLong(0) > 0 || value.asBoolean();
    }

    private static long count(JsonNode value) {
        return value.isNumber() ? value.asLong() : switchedOn(value) ? Long.MAX_VALUE : 0;
    }

    private Single<Either<EngineRefusal, FaultSwitched>> onModel(
            FaultOrder order, Consumer<EngineModel> change) {
        return mRuntime.ask(
                model -> {
                    change.accept(model);
                    return Either.right(new FaultSwitched(order.fault()));
                });
    }

    private static Single<Either<EngineRefusal, FaultSwitched>> done(
            FaultOrder order, Runnable change) {
        change.run();
        return succeeded(Either.right(new FaultSwitched(order.fault())));
    }

    private static Single<Either<EngineRefusal, FaultSwitched>> malformed() {
        return succeeded(Either.left(EngineRefusal.MALFORMED));
    }
}
