package dev.kumquatweir.program.instance;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.dispatch.RequestObserver;
import dev.kumquatweir.gateway.memory.AccountedCaller;
import dev.kumquatweir.gateway.memory.HeldMemory;
import dev.kumquatweir.gateway.oversize.AccountedKvCalls;
import dev.kumquatweir.gateway.oversize.OversizeCaller;
import dev.kumquatweir.gateway.oversize.PartIds;
import dev.kumquatweir.gateway.upstream.HttpEngineMemory;
import dev.kumquatweir.gateway.upstream.HttpUpstreamCaller;
import dev.kumquatweir.gateway.upstream.KvClient;
import dev.kumquatweir.gateway.upstream.UpstreamClients;
import dev.kumquatweir.policy.dispatch.Dispatcher;
import dev.kumquatweir.policy.dispatch.PolicyDispatcher;
import dev.kumquatweir.policy.dispatch.QuarantinedRecovery;
import dev.kumquatweir.policy.dispatch.SimpleRecovery;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.oversize.EngineAdmission;
import dev.kumquatweir.policy.permit.ColdPermits;
import dev.kumquatweir.policy.permit.PermitHolder;
import dev.kumquatweir.policy.quarantine.Quarantine;
import dev.kumquatweir.policy.routing.RoutingOptions;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.memory.MemoryReconciliation;
import dev.kumquatweir.program.permit.PermitRenewal;
import dev.kumquatweir.program.permit.RenewingDispatcher;
import dev.kumquatweir.program.spread.QuarantineSpread;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.transport.PeerNetwork;

/**
 * What one instance needs to give work to upstreams: the dispatch duty with its policy, runs over
 * several engines, permits, quarantine and memory reconciliation. {@link #start} and {@link #stop}
 * are called once each.
 */
final class UpstreamWork {
    private final InstanceSettings mSettings;
    private final ControlPlane mControl;
    private final Clocks mClocks;
    private final long mIncarnation;
    private final HeldMemory mHeld = new HeldMemory();
    private final Quarantine mQuarantine;
    private final OversizeCaller mOversize;
    private final DispatchDuty mDispatch;
    private final QuarantineSpread mQuarantineSpread;
    private final MemoryReconciliation mMemory;

    UpstreamWork(
            InstanceSettings settings,
            ControlPlane control,
            PeerNetwork network,
            UpstreamClients clients,
            RequestObserver observer,
            MetricRegistry metrics,
            Clocks clocks,
            long incarnation) {
        mSettings = settings;
        mControl = control;
        mClocks = clocks;
        mIncarnation = incarnation;
        mQuarantine = Quarantine.builder().owner(settings.id().value()).build();
        mOversize = oversize(clients);
        mDispatch =
                new DispatchDuty(
                        policy(metrics), mOversize, control.configuration(), observer, clocks);
        mQuarantineSpread =
                new QuarantineSpread(
                        mQuarantine, mDispatch::run, network, settings.otherInstances());
        mMemory =
                new MemoryReconciliation(
                        settings,
                        incarnation,
                        control,
                        network,
                        mDispatch,
                        new HttpEngineMemory(clients),
                        mHeld,
                        metrics,
                        clocks);
        register(metrics);
    }

    void start() {
        mOversize.start();
        mDispatch.start();
        mMemory.start();
        mQuarantineSpread.start();
    }

    /** Stops after the last work of this instance; the others then free what it left behind. */
    void stop() {
        mQuarantineSpread.stop();
        mDispatch.stop();
        mOversize.stop();
        mMemory.stop();
    }

    DispatchDuty dispatch() {
        return mDispatch;
    }

    /** Returns whether admitted work, or the cleanup after it, still has to end. */
    boolean open() {
        return mDispatch.running() > 0 || mOversize.open() > 0;
    }

    /** Ends all runs over several engines and gives back what they hold. */
    void abandonRuns() {
        mOversize.abandonAll();
    }

    /** Each attempt and export is accounted, or reconciliation would free it as forgotten. */
    private OversizeCaller oversize(UpstreamClients clients) {
        HttpUpstreamCaller caller = new HttpUpstreamCaller(clients, mSettings.limits().bodyBytes());
        return new OversizeCaller(
                new AccountedCaller(caller, mHeld, mClocks),
                new AccountedKvCalls(new KvClient(clients), mHeld),
                mControl.configuration(),
                mClocks,
                new PartIds(mSettings.id(), mIncarnation),
                plan -> EngineAdmission.INSTANCE);
    }

    private Dispatcher policy(MetricRegistry metrics) {
        PermitHolder permits = new PermitHolder(mSettings.id(), mIncarnation);
        ColdPermits cold = new ColdPermits(permits);
        RoutingOptions routing = RoutingOptions.of(mSettings.domain(), mSettings.id().hashCode());
        PolicyDispatcher dispatcher =
                PolicyDispatcher.builder(new AttemptIds(mSettings.id(), mIncarnation), routing)
                        .coldAllowance(cold)
                        .recovery(new QuarantinedRecovery(new SimpleRecovery(), mQuarantine))
                        .build();
        return new RenewingDispatcher(
                dispatcher, new PermitRenewal(permits, cold, mControl.permits(), metrics));
    }

    private void register(MetricRegistry metrics) {
        Gauge<Integer> running = mDispatch::running;
        Gauge<Integer> marks = mQuarantineSpread::marks;
        Gauge<Integer> refused = mQuarantineSpread::refused;
        metrics.register("kumquatweir_requests_running", running);
        metrics.register("kumquatweir_quarantine_marks", marks);
        metrics.register("kumquatweir_quarantine_refused", refused);
    }
}
