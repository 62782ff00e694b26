package dev.kumquatweir.bench;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.policy.dispatch.Dispatcher;
import dev.kumquatweir.policy.dispatch.PolicyDispatcher;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Runs one schedule under one policy. */
final class BenchRun {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LEAST_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long MOST_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long CONFIGURATION_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    private static final double LOST_CACHE_EVENTS_SHARE = 0.02;

    private final Schedule mSchedule;
    private final World mWorld;
    private final Simulation mSimulation;
    private final SplittableRandom mRandom;
    private final List<InstanceDriver> mInstances = new ArrayList<>();
    private final Map<FailureDomain, Long> mOutSince = new HashMap<>();
    private final long mEndNanos;
    private boolean mDone;

    private BenchRun(Schedule schedule, Contender contender) {
        mSchedule = schedule;
        mWorld = World.of(schedule.deployment());
        mSimulation = mWorld.simulation();
        mRandom = new SplittableRandom(schedule.seed() + 17);
        Contender.Setting setting = new Contender.Setting(mWorld, schedule.seed());
        for (Dispatcher dispatcher : contender.makeAll().apply(setting)) {
            mInstances.add(new InstanceDriver(mInstances.size(), mWorld, dispatcher, mOutSince));
        }
        long longest =
                TimeUnit.MILLISECONDS.toNanos(
                        schedule.deployment().dossierProfile().timeLimitMillis());
        mEndNanos = schedule.nanos() + longest + TimeUnit.SECONDS.toNanos(1);
    }

    /** Runs a schedule and returns what happened. */
    static Report run(Schedule schedule, Contender contender) {
        BenchRun run = new BenchRun(schedule, contender);
        run.prepare();
        while (!run.mDone && run.mSimulation.now() < run.mEndNanos) {
            run.mSimulation.runUntil(run.mSimulation.now() + TimeUnit.SECONDS.toNanos(1));
            run.mDone =
                    run.mSimulation.now() > schedule.nanos()
                            && run.mInstances.stream().allMatch(driver -> driver.open() == 0);
        }
        run.mSimulation.runUntil(run.mSimulation.now() + TimeUnit.SECONDS.toNanos(2));
        run.checkEnd();
        return new Report(schedule, contender.name(), run.mWorld.measures());
    }

    private void prepare() {
        ConfigurationDocument document = mSchedule.deployment().document();
        for (InstanceDriver driver : mInstances) {
            driver.dispatcher().configure(document, 0);
            for (Announcement announcement : mSchedule.deployment().announcements()) {
                driver.dispatcher().upstreamAnnounced(announcement, 0);
            }
        }
        long phase = 0;
        for (Upstream upstream : mWorld.upstreams().values()) {
            phase += REPORT_NANOS / 7;
            mSimulation.after(phase % REPORT_NANOS, () -> heartbeat(upstream));
        }
        mSimulation.after(TICK_NANOS, this::tick);
        for (Arrival arrival : arrivals()) {
            InstanceDriver driver = mInstances.get(arrival.instance());
            mSimulation.at(arrival.atNanos(), () -> driver.arrive(arrival));
        }
        mSchedule.faults().forEach(fault -> mSimulation.at(fault.atNanos(), () -> cause(fault)));
    }

    private List<Arrival> arrivals() {
        return Workload.make(
                mSchedule.deployment(), mSchedule.load(), mSchedule.nanos(), mSchedule.seed());
    }

    private void tick() {
        mInstances.forEach(InstanceDriver::act);
        mSimulation.after(TICK_NANOS, this::tick);
    }

    private void heartbeat(Upstream upstream) {
        mSimulation.after(REPORT_NANOS, () -> heartbeat(upstream));
        if (!upstream.alive() || upstream.frozen()) {
            return;
        }
        LoadReport report = upstream.report();
        List<CacheEvents.CacheEvent> changes = List.of();
        long sequence = 0;
        if (upstream instanceof EngineFake engine) {
            sequence = engine.cache().nextSequence();
            changes = engine.cache().takeChanges();
        }
        CacheEvents events = new CacheEvents(report.id(), report.incarnation(), sequence, changes);
        for (InstanceDriver driver : mInstances) {
            mSimulation.after(lag(), () -> deliver(driver, upstream, report));
            boolean lost = mRandom.nextDouble() < LOST_CACHE_EVENTS_SHARE;
            if (!events.events().isEmpty() && !lost) {
                mSimulation.after(lag(), () -> deliver(driver, upstream, events));
            }
        }
    }

    private void deliver(InstanceDriver driver, Upstream upstream, LoadReport report) {
        if (!driver.dispatcher().loadReported(report, mSimulation.now())) {
            Announcement announcement = upstream.announcement();
            mSimulation.after(
                    lag(),
                    () -> driver.dispatcher().upstreamAnnounced(announcement, mSimulation.now()));
        }
        driver.act();
    }

    private void deliver(InstanceDriver driver, Upstream upstream, CacheEvents events) {
        boolean whole = driver.dispatcher().cacheChanged(events, mSimulation.now());
        if (!whole && upstream instanceof EngineFake engine) {
            CacheEvents list =
                    new CacheEvents(
                            events.id(),
                            engine.announcement().incarnation(),
                            CacheEvents.FULL_SNAPSHOT,
                            engine.cache().whole());
            mSimulation.after(
                    lag(), () -> driver.dispatcher().cacheChanged(list, mSimulation.now()));
        }
    }

    private long lag() {
        return mRandom.nextLong(LEAST_LAG_NANOS, MOST_LAG_NANOS);
    }

    private void cause(Fault fault) {
        switch (fault) {
            case Fault.DomainOut out -> {
                FailureDomain domain = mSchedule.deployment().domains().get(out.domain());
                mOutSince.put(domain, mSimulation.now());
                configure(
                        mSchedule.deployment().document().withDomainsOutOfService(Set.of(domain)));
            }
            case Fault.DomainsIn in -> {
                mOutSince.clear();
                configure(mSchedule.deployment().document());
            }
            case Fault.Death death -> {
                Upstream upstream = mWorld.upstream(death.upstream());
                upstream.die();
                mSimulation.after(
                        Schedule.RESTART_NANOS,
                        () -> {
                            upstream.restart(true);
                            mSimulation.after(Schedule.COLD_NANOS, () -> upstream.setCold(false));
                        });
            }
            case Fault.ColdAgain cold -> {
                Upstream upstream = mWorld.upstream(cold.upstream());
                upstream.setCold(true);
                mSimulation.after(Schedule.COLD_NANOS, () -> upstream.setCold(false));
            }
            case Fault.Freeze freeze -> {
                Upstream upstream = mWorld.upstream(freeze.upstream());
                upstream.setFrozen(true);
                mSimulation.after(freeze.nanos(), () -> upstream.setFrozen(false));
            }
            case Fault.Silence silence ->
                    mWorld.upstream(silence.upstream()).silence(silence.instance());
        }
    }

    private void configure(ConfigurationDocument document) {
        long delay = LEAST_LAG_NANOS;
        for (InstanceDriver driver : mInstances) {
            mSimulation.after(
                    delay, () -> driver.dispatcher().configure(document, mSimulation.now()));
            delay += CONFIGURATION_STEP_NANOS;
        }
    }

    private void checkEnd() {
        Measures measures = mWorld.measures();
        for (Outcome outcome : measures.outcomes()) {
            if (!outcome.ended()) {
                measures.violated(Measures.Invariant.ENDS_IN_TIME, "r" + outcome.mArrival.id());
            }
        }
        for (Upstream upstream : mWorld.upstreams().values()) {
            if (upstream.memoryInUse() != 0) {
                measures.violated(
                        Measures.Invariant.MEMORY_RETURNS,
                        upstream.announcement().id() + "=" + upstream.memoryInUse());
            }
        }
        for (InstanceDriver driver : mInstances) {
            if (driver.dispatcher() instanceof PolicyDispatcher policy
                    && policy.reservedTokens() != 0) {
                measures.violated(
                        Measures.Invariant.MEMORY_RETURNS, "reserved=" + policy.reservedTokens());
            }
        }
    }
}
