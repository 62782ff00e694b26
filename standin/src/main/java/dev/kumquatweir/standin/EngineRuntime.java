package dev.kumquatweir.standin;

import static io.servicetalk.concurrent.api.Processors.newSingleProcessor;
import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.standin.model.CacheChange;
import dev.kumquatweir.standin.model.EngineEvent;
import dev.kumquatweir.standin.model.EngineModel;
import dev.kumquatweir.standin.model.EngineOrders;
import dev.kumquatweir.standin.model.EngineRefusal;
import dev.kumquatweir.standin.model.GenerateRequest;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Single;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Drives the engine model by the clock on one thread and hands tokens to the open streams.
 * Thread-safe; the model is accessed only on the thread.
 */
final class EngineRuntime {
    private static final EventLog LOG = EventLog.of(EngineRuntime.class);
    private static final int RING_CAPACITY = 16_384;
    private static final long TICK_MILLIS = 1;

    private final EngineModel mModel;
    private final EngineOrders mOrders;
    private final CacheEventQueue mCacheEvents;
    private final LoadHistory mLoadHistory;
    private final Observer mObserver;
    private final EventLoop mDuty;
    private final Map<String, TokenStream> mStreams = new LinkedHashMap<>();
    private final List<Delayed> mDelayed = new ArrayList<>();
    private boolean mFrozen;
    private long mThawNanos;
    private boolean mDown;
    private long mAccepted;
    private long mFinished;
    private long mAborted;
    private long mCrashes;

    /** What the owner of the runtime is told. Called on the engine's thread. */
    interface Observer {
        void crashed(String reason);

        /** The served models or the role changed. */
        void changed(List<String> models, String role);

        void thawed();
    }

    private record Delayed(long dueNanos, Runnable task) {}

    /**
     * Counts since the start of the process.
     *
     * @param accepted requests accepted
     * @param finished answers completed
     * @param aborted requests cancelled or past their deadline
     * @param crashes crashes of the engine
     */
    record Counts(long accepted, long finished, long aborted, long crashes) {}

    EngineRuntime(
            EngineModel model,
            EngineOrders orders,
            CacheEventQueue cacheEvents,
            LoadHistory loadHistory,
            Observer observer,
            String threadName) {
        mModel = model;
        mOrders = orders;
        mCacheEvents = cacheEvents;
        mLoadHistory = loadHistory;
        mObserver = observer;
        mDuty =
                new EventLoop(
                        threadName,
                        RING_CAPACITY,
                        TICK_MILLIS,
                        this::tick,
                        (thread, fault) -> LOG.error("engine_fault", fault));
    }

    void start() {
        mDuty.start();
    }

    void stop() {
        mDuty.stop();
    }

    /** Runs a function of the model on the engine's thread. */
    <T> Single<T> ask(Function<EngineModel, T> function) {
        return onThread(() -> function.apply(mModel));
    }

    /** Runs a function of the orders on the engine's thread. */
    <T> Single<T> askOrders(Function<EngineOrders, T> function) {
        return onThread(() -> function.apply(mOrders));
    }

    Single<Counts> counts() {
        return onThread(() -> new Counts(mAccepted, mFinished, mAborted, mCrashes));
    }

    /** Submits a request; its tokens go to the stream. */
    Single<Either<EngineRefusal, TokenStream>> generate(
            GenerateRequest request, TokenStream stream) {
        return onThread(
                () -> {
                    if (mDown) {
                        return Either.left(EngineRefusal.UNAVAILABLE);
                    }
                    return mModel.submit(request, System.nanoTime())
                            .map(accepted -> open(request.attempt(), stream));
                });
    }

    Single<Boolean> cancel(String attempt) {
        return onThread(() -> cancelNow(attempt));
    }

    /** Cancels without waiting for the result. */
    void cancelLater(String attempt) {
        mDuty.offer(() -> cancelNow(attempt));
    }

    /** Runs a task on the engine's thread after a time, even while the engine is frozen. */
    void later(long millis, Runnable task) {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        mDuty.offer(() -> mDelayed.add(new Delayed(dueNanos, task)));
    }

    /** Stops all work until a time has passed; 0 ms is until {@link #thaw}. */
    void freeze(long millis) {
        long thawNanos =
                millis <= 0
                        ? Long.MAX_VALUE
                        : System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        mDuty.offer(
                () -> {
                    mFrozen = true;
                    mThawNanos = thawNanos;
                });
    }

    void thaw() {
        mDuty.offer(this::thawNow);
    }

    /** Crashes the engine for a reason. */
    void crash(String reason) {
        mDuty.offer(() -> crashNow(reason));
    }

    /** Takes work again after a crash. */
    void comeBack(boolean cold) {
        mDuty.offer(
                () -> {
                    mDown = false;
                    mModel.setCold(cold, System.nanoTime());
                });
    }

    void resendCache() {
        mDuty.offer(
                () -> {
                    List<CacheChange> unsent = mModel.takeCacheChanges();
                    LOG.debug("cache_resync", "superseded", unsent.size());
                    mCacheEvents.replaceAll(mModel.cacheEntries());
                });
    }

    private <T> Single<T> onThread(Supplier<T> function) {
        return Single.defer(
                () -> {
                    SingleSource.Processor<T, T> answer = newSingleProcessor();
                    boolean taken = mDuty.offer(() -> complete(answer, function));
                    if (!taken) {
                        return Single.failed(new RejectedExecutionException("engine is stopping"));
                    }
                    return fromSource(answer);
                });
    }

    private static <T> void complete(SingleSource.Processor<T, T> answer, Supplier<T> function) {
        Try.ofSupplier(function).onSuccess(answer::onSuccess).onFailure(answer::onError);
    }

    private TokenStream open(String attempt, TokenStream stream) {
        mAccepted++;
        mStreams.put(attempt, stream);
        return stream;
    }

    private boolean cancelNow(String attempt) {
        if (mModel.faults().dropsCancels()) {
            LOG.info("cancel_dropped", "attempt", attempt);
            return false;
        }
        boolean cancelled = mModel.cancel(attempt);
        mAborted += cancelled ? 1 : 0;
        end(attempt, stream -> stream.aborted("cancelled"));
        return cancelled;
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        runDelayed(nowNanos);
        if (mFrozen && nowNanos - mThawNanos >= 0 && mThawNanos != Long.MAX_VALUE) {
            thawNow();
        }
        if (mFrozen || mDown) {
            return;
        }
        if (mOrders.advance(mModel.models(), nowNanos)) {
            mObserver.changed(List.copyOf(mModel.models()), mOrders.role());
        }
        Set<TokenStream> written = new LinkedHashSet<>();
        String crash = null;
        for (EngineEvent event : mModel.advance(nowNanos)) {
            String reason = apply(event, written);
            crash = reason == null ? crash : reason;
        }
        written.forEach(TokenStream::flush);
        mCacheEvents.add(mModel.takeCacheChanges());
        if (mLoadHistory.due(nowNanos)) {
            mLoadHistory.add(mModel.load(), nowNanos);
        }
        if (crash != null) {
            crashNow(crash);
        }
    }

    /** Applies an event to its stream; returns the reason if it is a crash. */
    private @Nullable String apply(EngineEvent event, Set<TokenStream> written) {
        return switch (event) {
            case EngineEvent.Token token -> {
                TokenStream stream = mStreams.get(token.attempt());
                if (stream != null) {
                    stream.token(token);
                    written.add(stream);
                }
                yield null;
            }
            case EngineEvent.Finished finished -> {
                mFinished++;
                end(finished.attempt(), stream -> stream.finished(finished));
                yield null;
            }
            case EngineEvent.Aborted aborted -> {
                mAborted++;
                end(aborted.attempt(), stream -> stream.aborted(aborted.reason()));
                yield null;
            }
            case EngineEvent.Crashed crashed -> crashed.reason();
        };
    }

    private void end(String attempt, Consumer<TokenStream> last) {
        TokenStream stream = mStreams.remove(attempt);
        if (stream != null) {
            last.accept(stream);
            stream.flush();
        }
    }

    private void crashNow(String reason) {
        mCrashes++;
        mDown = true;
        mModel.crash();
        mCacheEvents.reset();
        mStreams.values().forEach(TokenStream::breakOff);
        mStreams.clear();
        LOG.warn("engine_crashed", "reason", reason);
        mObserver.crashed(reason);
    }

    private void thawNow() {
        if (mFrozen) {
            mFrozen = false;
            mObserver.thawed();
        }
    }

    private void runDelayed(long nowNanos) {
        List<Delayed> due =
                mDelayed.stream().filter(delayed -> nowNanos - delayed.dueNanos() >= 0).toList();
        mDelayed.removeAll(due);
        due.forEach(delayed -> delayed.task().run());
    }
}
