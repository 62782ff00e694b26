package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRegistry;
import dev.kumquatweir.policy.registry.UpstreamRole;
import dev.kumquatweir.policy.registry.UpstreamState;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The upstreams that one instance knows, with their loads and the pools formed from them. Not
 * thread-safe: owned by the dispatch duty.
 */
public final class Fleet {
    /**
     * Initial slow-start limit on the requests of one instance when an upstream or its failure
     * domain returns to service.
     */
    static final int RAMP_START_REQUESTS = 2;

    private static final long POOL_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

    private record PoolKey(ServiceName service, @Nullable ModelName model) {}

    private final UpstreamRegistry mRegistry;
    private final LengthStrategy mStrategy;
    private final Map<UpstreamId, UpstreamLoad> mLoads = new HashMap<>();
    private final Map<PoolKey, Pool> mPools = new HashMap<>();
    private ConfigurationDocument mDocument = ConfigurationDocument.EMPTY;
    private long mPoolsBuiltNanos;

    /** Creates a fleet without upstreams. */
    public Fleet(UpstreamRegistry registry, LengthStrategy strategy) {
        mRegistry = registry;
        mStrategy = strategy;
    }

    /**
     * Applies a newer configuration. Upstreams that may receive work again go through slow start.
     */
    public void configure(ConfigurationDocument document) {
        for (UpstreamLoad load : mLoads.values()) {
            Announcement announcement = load.state().announcement();
            boolean before = mDocument.mayReceiveWork(announcement.id(), announcement.domain());
            boolean after = document.mayReceiveWork(announcement.id(), announcement.domain());
            if (after && !before) {
                load.startRamp(RAMP_START_REQUESTS);
            }
        }
        mDocument = document;
        mPools.clear();
    }

    /**
     * Handles the announcement of an upstream.
     *
     * @return the load of the earlier incarnation if the upstream has restarted, else null
     */
    public @Nullable UpstreamLoad announced(Announcement announcement, long nowNanos) {
        UpstreamLoad former = mLoads.get(announcement.id());
        boolean newIncarnation = mRegistry.announce(announcement, nowNanos);
        Optional<UpstreamState> state = mRegistry.find(announcement.id());
        if (state.isEmpty()) {
            return null;
        }
        if (!newIncarnation && former != null) {
            refresh(former, state.get());
            return null;
        }
        UpstreamLoad load = new UpstreamLoad(state.get());
        mLoads.put(announcement.id(), load);
        mPools.clear();
        if (former != null) {
            load.rates().seed(former.rates());
            load.startRamp(RAMP_START_REQUESTS);
        } else {
            seed(load);
        }
        return former;
    }

    /**
     * Handles a load report.
     *
     * @return false if the upstream has to announce itself
     */
    public boolean reported(LoadReport report, long nowNanos) {
        boolean known = mRegistry.report(report, nowNanos);
        UpstreamLoad load = mLoads.get(report.id());
        if (load != null) {
            mRegistry.find(report.id()).ifPresent(state -> refresh(load, state));
        }
        return known;
    }

    /** Handles the message of an upstream that it leaves. Work that runs there continues. */
    public void left(UpstreamId upstream, long incarnation) {
        mRegistry.leave(upstream, incarnation);
        UpstreamLoad load = mLoads.get(upstream);
        if (load != null && mRegistry.find(upstream).isEmpty()) {
            load.markLeaving();
            if (load.reservations().isEmpty()) {
                mLoads.remove(upstream);
            }
        }
        mPools.clear();
    }

    /** Removes the upstreams whose last message is too old and returns their loads. */
    public List<UpstreamLoad> expire(long nowNanos) {
        List<UpstreamLoad> silent =
                mRegistry.expire(nowNanos).stream()
                        .map(state -> mLoads.remove(state.announcement().id()))
                        .filter(load -> load != null)
                        .toList();
        if (!silent.isEmpty()) {
            mPools.clear();
        }
        return silent;
    }

    /**
     * Returns the upstreams that may take work for a service and model. Cached for up to a second.
     */
    public Pool pool(ServiceName service, @Nullable ModelName model, long nowNanos) {
        if (nowNanos - mPoolsBuiltNanos >= POOL_LIFETIME_NANOS) {
            mPools.clear();
            mPoolsBuiltNanos = nowNanos;
        }
        return mPools.computeIfAbsent(
                new PoolKey(service, model), key -> Pool.of(members(key, nowNanos), mStrategy));
    }

    /** Returns the load of an upstream, or null if the upstream is unknown. */
    public @Nullable UpstreamLoad find(UpstreamId upstream) {
        return mLoads.get(upstream);
    }

    /** Returns the loads of all known upstreams. */
    public Collection<UpstreamLoad> all() {
        return mLoads.values();
    }

    /** Returns whether any known upstream of a service has a model. */
    public boolean knowsModel(ServiceName service, ModelName model) {
        return mLoads.values().stream()
                .map(load -> load.state().announcement())
                .anyMatch(
                        announcement ->
                                announcement.service().equals(service)
                                        && announcement.models().contains(model));
    }

    /** Returns whether the configuration allows new work on an upstream. */
    public boolean allows(UpstreamLoad load) {
        Announcement announcement = load.state().announcement();
        return mDocument.mayReceiveWork(announcement.id(), announcement.domain());
    }

    private List<UpstreamLoad> members(PoolKey key, long nowNanos) {
        return mLoads.values().stream()
                .filter(load -> load.state().announcement().service().equals(key.service()))
                .filter(load -> load.state().announcement().role() != UpstreamRole.DECODE)
                .filter(load -> serves(load, key.model()))
                .filter(this::allows)
                .filter(load -> !load.unavailable(nowNanos))
                .toList();
    }

    private static boolean serves(UpstreamLoad load, @Nullable ModelName model) {
        return model == null || load.state().announcement().models().contains(model);
    }

    private void refresh(UpstreamLoad load, UpstreamState state) {
        boolean wasCold = load.cold();
        load.update(state);
        if (wasCold && !load.cold()) {
            load.startRamp(RAMP_START_REQUESTS);
        }
    }

    private void seed(UpstreamLoad fresh) {
        ServiceName service = fresh.state().announcement().service();
        mLoads.values().stream()
                .filter(load -> load != fresh)
                .filter(load -> load.state().announcement().service().equals(service))
                .findAny()
                .ifPresent(load -> fresh.rates().seed(load.rates()));
    }
}
