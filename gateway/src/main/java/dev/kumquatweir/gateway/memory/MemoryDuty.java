package dev.kumquatweir.gateway.memory;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.memory.EngineListing;
import dev.kumquatweir.policy.memory.InstanceDirectory;
import dev.kumquatweir.policy.memory.MemoryAction;
import dev.kumquatweir.policy.memory.MemoryLedger;
import dev.kumquatweir.policy.memory.ReconcilerChoice;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The duty that compares what engines hold with what the instances need, and frees the rest. It
 * lists the engines that this instance reconciles, and at a bounded rate those that it uses. Public
 * methods are thread-safe and never block.
 */
public final class MemoryDuty {
    private static final EventLog LOG = EventLog.of(MemoryDuty.class);

    /** Room for a listing of each engine, and as many words of other instances. */
    private static final int RING_CAPACITY = 8_192;

    private static final long TICK_MILLIS = 1_000;

    /** Longer than a listing may take, so that an engine is asked once at a time. */
    private static final long LISTING_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Engines that this instance does not use are looked at too: a late order may have come. */
    private static final long SWEEP_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Bounds the listings of engines that another instance reconciles. */
    private static final int MOST_OTHERS_PER_TICK = 4;

    private final InstanceId mInstance;
    private final MemoryPorts mPorts;
    private final HeldMemory mHeld;
    private final Clocks mClocks;
    private final InstanceDirectory mDirectory = new InstanceDirectory();
    private final MemoryLedger mLedger;
    private final EventLoop mDuty;
    private final Map<UpstreamId, Engine> mEngines = new HashMap<>();
    private Set<AttemptId> mPlaced = Set.of();
    private Set<InstanceId> mInstances = Set.of();

    /**
     * Makes a duty that is not yet running.
     *
     * @param incarnation incarnation of this instance
     */
    public MemoryDuty(InstanceId instance, long incarnation, MemoryPorts ports, Clocks clocks) {
        mInstance = instance;
        mPorts = ports;
        mHeld = ports.held();
        mClocks = clocks;
        mLedger = MemoryLedger.builder(instance, incarnation, mDirectory).build();
        mDuty =
                new EventLoop(
                        "memory",
                        RING_CAPACITY,
                        TICK_MILLIS,
                        this::tick,
                        (thread, fault) -> LOG.error("memory_fault", fault));
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Ends the thread. */
    public void stop() {
        mDuty.stop();
    }

    /** Takes the word of another instance that it runs. A lost word is made good by the next. */
    public void heard(InstanceId instance, long incarnation) {
        mDuty.offer(() -> mDirectory.recordContact(instance, incarnation, mClocks.nowNanos()));
    }

    /** Takes the word of another instance that it has stopped and none of its work runs on. */
    public void stopped(InstanceId instance, long incarnation) {
        mDuty.offer(
                () -> {
                    LOG.info("instance_ended", "instance", instance, "incarnation", incarnation);
                    mDirectory.recordTermination(instance, incarnation, mClocks.nowNanos());
                });
    }

    /** Takes the instances that operators have removed from the group. */
    public void removed(Set<InstanceId> instances) {
        mDuty.offer(() -> mDirectory.setRemoved(instances));
    }

    private void tick() {
        long nowNanos = mClocks.nowNanos();
        mPorts.onTick().run();
        takeLimits(mPorts.configuration().current().document());
        mPorts.upstreams().get().thenAccept(known -> mDuty.offer(() -> takeEngines(known)));
        mHeld.takeTouched().stream()
                .flatMap(upstream -> Stream.ofNullable(mEngines.get(upstream)))
                .forEach(engine -> engine.touched(nowNanos));
        chooseReconcilers(nowNanos);
        due(nowNanos).forEach(engine -> list(engine, nowNanos));
    }

    private void takeLimits(ConfigurationDocument document) {
        document.profiles().values().stream()
                .mapToLong(Profile::timeLimitMillis)
                .max()
                .ifPresent(
                        millis ->
                                mLedger.raiseMaximumRequestDuration(
                                        TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** Plain services hold no memory that could be listed, so they are left out. */
    private void takeEngines(List<Announcement> known) {
        Set<UpstreamId> present = new HashSet<>();
        for (Announcement upstream : known) {
            if (upstream.kind() == UpstreamKind.ENGINE) {
                present.add(upstream.id());
                Engine engine =
                        mEngines.computeIfAbsent(upstream.id(), id -> newEngine(id, upstream));
                engine.mAnnouncement = upstream;
                mLedger.updateEngine(
                        upstream.id(), upstream.incarnation(), upstream.memoryTokens());
            }
        }
        mEngines.keySet().stream()
                .filter(id -> !present.contains(id))
                .toList()
                .forEach(
                        gone -> {
                            mEngines.remove(gone);
                            mLedger.removeEngine(gone);
                        });
    }

    private Engine newEngine(UpstreamId id, Announcement announcement) {
        Engine engine = new Engine(announcement, mClocks.nowNanos() - LISTING_NANOS);
        engine.mReconciledHere = reconciledHere(id);
        return engine;
    }

    /** Chosen again only when the live instances change: it is a hash for each pair. */
    private void chooseReconcilers(long nowNanos) {
        Set<InstanceId> instances = new HashSet<>(mDirectory.liveInstances(nowNanos));
        instances.add(mInstance);
        if (!instances.equals(mInstances)) {
            mInstances = instances;
            mEngines.forEach((id, engine) -> engine.mReconciledHere = reconciledHere(id));
        }
    }

    private boolean reconciledHere(UpstreamId upstream) {
        return ReconcilerChoice.choose(upstream, mInstances).equals(Optional.of(mInstance));
    }

    private List<Engine> due(long nowNanos) {
        List<Engine> due = new ArrayList<>();
        List<Engine> others = new ArrayList<>();
        for (Engine engine : mEngines.values()) {
            long age = nowNanos - engine.mAskedNanos;
            if (engine.mReconciledHere && age >= LISTING_NANOS) {
                due.add(engine);
            } else if (age >= (engine.mUsed ? LISTING_NANOS : SWEEP_NANOS)) {
                others.add(engine);
            }
        }
        others.stream()
                .sorted(
                        Comparator.comparing((Engine engine) -> !engine.mUsed)
                                .thenComparing(engine -> engine.mAskedNanos - nowNanos))
                .limit(MOST_OTHERS_PER_TICK)
                .forEach(due::add);
        return due;
    }

    private void list(Engine engine, long askedNanos) {
        engine.mAskedNanos = askedNanos;
        Announcement asked = engine.mAnnouncement;
        mPorts.engines()
                .list(asked)
                .whenComplete(
                        (listing, problem) -> {
                            if (problem == null) {
                                mDuty.offer(() -> reconcile(asked, listing, askedNanos));
                            } else {
                                notDone("memory_not_listed", asked, "", problem);
                            }
                        });
    }

    private void reconcile(Announcement asked, EngineListing listing, long askedNanos) {
        Engine engine = mEngines.get(asked.id());
        if (engine == null) {
            return;
        }
        Map<AttemptId, HeldMemory.Holding> held = mHeld.attempts();
        takeHeld(held);
        mLedger.setNeededExports(asked.id(), mHeld.exportsOn(asked.id()));
        long nowNanos = mClocks.nowNanos();
        List<MemoryAction> actions = mLedger.reconcile(listing, askedNanos, nowNanos);
        engine.mUsed = ownsAny(listing, held) || askedNanos - engine.mTouchedNanos < 0;
        actions.forEach(action -> carryOut(action, asked, listing));
    }

    private void takeHeld(Map<AttemptId, HeldMemory.Holding> held) {
        mPlaced.stream()
                .filter(attempt -> !held.containsKey(attempt))
                .forEach(attempt -> mLedger.release(attempt));
        held.forEach(
                (attempt, holding) ->
                        mLedger.recordPlacement(
                                holding.upstream(),
                                attempt,
                                holding.tokens(),
                                holding.sinceNanos()));
        mPlaced = held.keySet();
    }

    /** Returns whether anything of this instance is listed or expected on an engine. */
    private boolean ownsAny(EngineListing listing, Map<AttemptId, HeldMemory.Holding> held) {
        boolean expected =
                held.values().stream()
                        .anyMatch(holding -> holding.upstream().equals(listing.upstream()));
        return expected
                || Stream.concat(
                                listing.attempts().stream()
                                        .map(attempt -> AttemptIds.originOf(attempt.attempt())),
                                listing.exports().stream()
                                        .map(export -> AttemptIds.originOfHandle(export.handle())))
                        .flatMap(Optional::stream)
                        .anyMatch(origin -> origin.instance().equals(mInstance));
    }

    private void carryOut(MemoryAction action, Announcement engine, EngineListing listing) {
        switch (action) {
            case MemoryAction.CancelAttempt cancel -> cancel(cancel.attempt(), engine, listing);
            case MemoryAction.ReleaseExport release -> release(release.handle(), engine, listing);
            case MemoryAction.AttemptMissing missing -> missing(missing.attempt(), engine);
        }
    }

    private void cancel(AttemptId attempt, Announcement engine, EngineListing listing) {
        long tokens =
                listing.attempts().stream()
                        .filter(held -> held.attempt().equals(attempt))
                        .mapToLong(EngineListing.HeldAttempt::tokens)
                        .sum();
        mPorts.engines()
                .cancel(engine, attempt)
                .whenComplete(
                        (cancelled, problem) -> {
                            if (problem != null) {
                                notDone("memory_not_reclaimed", engine, attempt.value(), problem);
                            } else if (cancelled) {
                                reclaimed(engine, "attempt", attempt.value(), tokens);
                                mPorts.observer().attemptCancelled(tokens);
                            }
                        });
    }

    private void release(String handle, Announcement engine, EngineListing listing) {
        long tokens =
                listing.exports().stream()
                        .filter(held -> held.handle().equals(handle))
                        .mapToLong(EngineListing.HeldExport::tokens)
                        .sum();
        mPorts.engines()
                .release(engine, handle)
                .whenComplete(
                        (released, problem) -> {
                            if (problem != null) {
                                notDone("memory_not_reclaimed", engine, handle, problem);
                            } else if (released) {
                                reclaimed(engine, "export", handle, tokens);
                                mPorts.observer().exportReleased(tokens);
                            }
                        });
    }

    private void missing(AttemptId attempt, Announcement engine) {
        HeldMemory.Holding holding = mHeld.find(attempt);
        if (holding != null) {
            LOG.warn("attempt_missing", "upstream", engine.id(), "attempt", attempt);
            mHeld.ended(attempt);
            holding.onMissing().run();
        }
    }

    private static void reclaimed(Announcement engine, String kind, String id, long tokens) {
        LOG.warn(
                "memory_reclaimed",
                "upstream",
                engine.id(),
                "kind",
                kind,
                "id",
                id,
                "tokens",
                tokens);
    }

    private static void notDone(String event, Announcement engine, String id, Throwable problem) {
        LOG.warn(
                event,
                "upstream",
                engine.id(),
                "id",
                id,
                "problem",
                problem.getClass().getSimpleName());
    }

    /** What the duty knows of an engine. */
    private static final class Engine {
        private Announcement mAnnouncement;
        private long mAskedNanos;
        private long mTouchedNanos;
        private boolean mUsed;
        private boolean mReconciledHere;

        Engine(Announcement announcement, long askedNanos) {
            mAnnouncement = announcement;
            mAskedNanos = askedNanos;
            mTouchedNanos = askedNanos;
        }

        void touched(long nowNanos) {
            mUsed = true;
            mTouchedNanos = nowNanos;
        }
    }
}
