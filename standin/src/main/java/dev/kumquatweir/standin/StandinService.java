package dev.kumquatweir.standin;

import dev.kumquatweir.core.event.EventLog;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in plain service: executes each call as an action, keeps a ledger of them, and has faults
 * switched by {@code POST /standin/v1/fault}. Thread-safe. {@link #start} may be called once.
 */
public final class StandinService implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StandinService.class);
    private static final long DRAIN_POLL_MILLIS = 10;

    private final StandinServiceSettings mSettings;
    private final Runnable mOnDeath;
    private final ActionLedger mLedger = new ActionLedger();
    private final PlainHttpService mService;
    private final RestartableServer mServer;
    private final UpstreamReporter mReporter;
    private final long mIncarnation = System.currentTimeMillis();
    private volatile boolean mClosed;

    /** Makes a service that does not run yet; the fault {@code die} leaves the process alone. */
    public StandinService(StandinServiceSettings settings) {
        this(settings, () -> {});
    }

    /**
     * Makes a service that does not run yet.
     *
     * @param settings its settings
     * @param onDeath called after the fault {@code die} has closed everything; a process of its own
     *     halts here
     */
    public StandinService(StandinServiceSettings settings, Runnable onDeath) {
        mSettings = settings;
        mOnDeath = onDeath;
        mService = new PlainHttpService(mLedger, settings.prefix(), this::die);
        mServer = new RestartableServer(settings.listen(), mService);
        mReporter =
                new UpstreamReporter(
                        new KumquatweirClient(
                                settings.reports().addresses(),
                                settings.reports().key(),
                                settings.reports().firstAddress()),
                        new ReportSource(),
                        new CacheEventQueue(),
                        settings.reports().heartbeatMillis(),
                        settings.reports().cacheEventMillis(),
                        "reports-" + settings.id());
    }

    /**
     * Listens and starts to report.
     *
     * @throws Exception if the address can't be listened on
     */
    public void start() throws Exception {
        mServer.listen();
        mReporter.start();
        LOG.info("standin_service_started", "id", mSettings.id(), "address", address());
    }

    /** Returns the address it listens on, with the port taken. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** Returns the actions executed so far. */
    public ActionLedger ledger() {
        return mLedger;
    }

    /** Stops as planned: says that it leaves and waits for running calls up to the drain limit. */
    @Override
    public void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mReporter.leave(new UpstreamMessages.Leave(mSettings.id(), mIncarnation));
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mSettings.drainMillis());
        try {
            while (System.nanoTime() - endNanos < 0 && mService.running() > 0) {
                TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        mServer.breakOff();
        LOG.info("standin_service_stopped", "id", mSettings.id());
    }

    /** Ends at once, as a process that is killed: closes the port and each connection. */
    public void die() {
        mClosed = true;
        mServer.breakOff();
        mReporter.stop();
        mOnDeath.run();
    }

    private final class ReportSource implements UpstreamReporter.Source {
        @Override
        public UpstreamMessages.Announce announcement() {
            return new UpstreamMessages.Announce(
                    mSettings.id(),
                    mIncarnation,
                    address().getAddress().getHostAddress() + ":" + address().getPort(),
                    mSettings.failureDomain(),
                    "service",
                    mSettings.service(),
                    List.of(),
                    0,
                    "mixed",
                    false,
                    false,
                    new UpstreamMessages.ColdLimit(mSettings.maxRunning(), 0),
                    mSettings.maxRunning());
        }

        @Override
        public UpstreamMessages.Heartbeat heartbeat(long sequence) {
            return new UpstreamMessages.Heartbeat(
                    mSettings.id(), mIncarnation, sequence, mService.running(), 0, 0, 0, false);
        }

        @Override
        public void resendCache() {
            // A plain service has no prefix cache.
        }
    }
}
