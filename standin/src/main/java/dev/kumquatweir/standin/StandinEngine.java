package dev.kumquatweir.standin;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.standin.model.EngineLoad;
import dev.kumquatweir.standin.model.EngineModel;
import dev.kumquatweir.standin.model.EngineOrders;
import dev.kumquatweir.standin.model.EngineRefusal;
import io.servicetalk.concurrent.api.Single;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in model engine: the protocol of engines over HTTP on a simulated engine, with faults
 * switched by {@code POST /standin/v1/fault}. Thread-safe. {@link #start} may be called once.
 */
public final class StandinEngine implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StandinEngine.class);
    private static final long RELISTEN_MILLIS = 50;
    private static final long DRAIN_POLL_MILLIS = 10;

    private final StandinEngineSettings mSettings;
    private final Runnable mOnDeath;
    private final CacheEventQueue mCacheEvents = new CacheEventQueue();
    private final LoadHistory mLoadHistory;
    private final EngineRuntime mRuntime;
    private final EngineFaultSwitches mFaults;
    private final UpstreamReporter mReporter;
    private final RestartableServer mServer;
    private final AtomicLong mIncarnation = new AtomicLong(System.currentTimeMillis());
    private volatile List<String> mModels;
    private volatile String mRole;
    private volatile boolean mStartedCold;
    private volatile boolean mClosed;

    /**
     * Makes an engine that does not run yet, for use in a test: the fault {@code die} closes
     * everything and leaves the process alone.
     */
    public StandinEngine(StandinEngineSettings settings) {
        this(settings, () -> {});
    }

    /**
     * Makes an engine that does not run yet.
     *
     * @param settings its settings
     * @param onDeath called after the fault {@code die} has closed everything; a process of its own
     *     halts here
     */
    public StandinEngine(StandinEngineSettings settings, Runnable onDeath) {
        mSettings = settings;
        mOnDeath = onDeath;
        mModels = settings.models();
        mRole = settings.role();
        mStartedCold = settings.startsCold();
        mLoadHistory = new LoadHistory(settings.reports().loadLagMillis());
        EngineModel model = new EngineModel(settings.limits(), settings.speed(), settings.models());
        model.setCold(settings.startsCold(), System.nanoTime());
        EngineOrders orders =
                new EngineOrders(
                        settings.checksFencing(),
                        settings.speed().scaledNanos(settings.loadMillis()),
                        settings.role());
        mRuntime =
                new EngineRuntime(
                        model,
                        orders,
                        mCacheEvents,
                        mLoadHistory,
                        new RuntimeObserver(),
                        "engine-" + settings.id());
        mReporter =
                new UpstreamReporter(
                        new KumquatweirClient(
                                settings.reports().addresses(),
                                settings.reports().key(),
                                settings.reports().firstAddress()),
                        new ReportSource(),
                        mCacheEvents,
                        settings.reports().heartbeatMillis(),
                        settings.reports().cacheEventMillis(),
                        "reports-" + settings.id());
        mFaults =
                new EngineFaultSwitches(
                        mRuntime, mCacheEvents, mLoadHistory, mReporter::pause, this::die);
        mServer =
                new RestartableServer(
                        settings.listen(),
                        new EngineHttpService(
                                mRuntime,
                                mFaults,
                                new RemoteHandles(),
                                settings.cancelsOnDisconnect(),
                                state()));
    }

    /**
     * Listens and starts to report.
     *
     * @throws Exception if the address can't be listened on
     */
    public void start() throws Exception {
        mServer.listen();
        mRuntime.start();
        mReporter.start();
        LOG.info("standin_engine_started", "id", mSettings.id(), "address", address());
    }

    /** Returns the address it listens on, with the port taken. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns the number of the present start; it grows with each crash. */
    public long incarnation() {
        return mIncarnation.get();
    }

    /**
     * Stops as planned: takes no new work, says that it leaves, and waits for running requests up
     * to the drain limit of the settings.
     */
    @Override
    public void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        refuseNewWork();
        mReporter.leave(new UpstreamMessages.Leave(mSettings.id(), incarnation()));
        awaitIdle();
        mServer.breakOff();
        mRuntime.stop();
        LOG.info("standin_engine_stopped", "id", mSettings.id());
    }

    /** Ends at once, as a process that is killed: closes the port and each connection. */
    public void die() {
        mClosed = true;
        mServer.breakOff();
        mReporter.stop();
        mRuntime.stop();
        mOnDeath.run();
    }

    private void refuseNewWork() {
        mRuntime.ask(
                        model -> {
                            model.faults().refuseAll(EngineRefusal.DRAINING);
                            return true;
                        })
                .onErrorReturn(failure -> false)
                .subscribe(accepted -> {});
    }

    private void awaitIdle() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mSettings.drainMillis());
        try {
            while (System.nanoTime() - endNanos < 0 && busy()) {
                TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean busy() throws InterruptedException {
        try {
            return mRuntime.ask(EngineModel::load)
                    .map(load -> load.running() + load.queued() > 0)
                    .timeout(mSettings.drainMillis() + 1, TimeUnit.MILLISECONDS)
                    .toFuture()
                    .get();
        } catch (ExecutionException exception) {
            LOG.error("drain_failed", exception);
            return false;
        }
    }

    private void comeBack() {
        if (mClosed) {
            return;
        }
        if (!mServer.tryListen()) {
            mRuntime.later(RELISTEN_MILLIS, this::comeBack);
            return;
        }
        mStartedCold = true;
        mIncarnation.updateAndGet(last -> Math.max(last + 1, System.currentTimeMillis()));
        mRuntime.comeBack(true);
        mReporter.announceAgain();
        mReporter.pause(false);
    }

    private Single<EngineMessages.State> state() {
        return mRuntime.ask(EngineModel::load)
                .zipWith(
                        mRuntime.counts(),
                        (load, counts) ->
                                new EngineMessages.State(
                                        mSettings.id(),
                                        incarnation(),
                                        load,
                                        counts,
                                        mModels,
                                        mRole));
    }

    private final class RuntimeObserver implements EngineRuntime.Observer {
        @Override
        public void crashed(String reason) {
            mReporter.pause(true);
            mLoadHistory.clear();
            mServer.breakOff();
            mRuntime.later(mSettings.restartMillis(), StandinEngine.this::comeBack);
        }

        @Override
        public void changed(List<String> models, String role) {
            mModels = models;
            mRole = role;
            mReporter.announceAgain();
        }

        @Override
        public void thawed() {
            mFaults.thawed();
        }
    }

    private final class ReportSource implements UpstreamReporter.Source {
        @Override
        public UpstreamMessages.Announce announcement() {
            return new UpstreamMessages.Announce(
                    mSettings.id(),
                    incarnation(),
                    address().getAddress().getHostAddress() + ":" + address().getPort(),
                    mSettings.failureDomain(),
                    "engine",
                    mSettings.service(),
                    mModels,
                    mSettings.limits().memoryTokens(),
                    mRole,
                    mSettings.checksFencing(),
                    mLoadHistory.newest().map(EngineLoad::cold).orElse(mStartedCold),
                    new UpstreamMessages.ColdLimit(
                            mSettings.limits().coldRequests(),
                            mSettings.limits().coldPrefillTokens()),
                    mSettings.limits().maxRunning());
        }

        @Override
        public UpstreamMessages.Heartbeat heartbeat(long sequence) {
            EngineLoad load = mLoadHistory.lagging(System.nanoTime());
            return new UpstreamMessages.Heartbeat(
                    mSettings.id(),
                    incarnation(),
                    sequence,
                    load.running(),
                    load.queued(),
                    load.memoryUsedTokens(),
                    load.prefillBacklogTokens(),
                    load.cold());
        }

        @Override
        public void resendCache() {
            mRuntime.resendCache();
        }
    }
}
