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
import dev.kumquatweir.program.permit.PermitRenewingDispatcher;
import dev.kumquatweir.program.spread.QuarantineSynchronizer;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.transport.PeerNetwork;

/**
 * What one instance needs to give work to upstreams: the dispatch duty with its policy, runs over
 * several engines, permits, quarantine and memory reconciliation. {@link #start} and {@link #stop}
 * are called once each.
 */
final class UpstreamSubsystem {
    private final InstanceSettings mSettings;
    private final ControlPlane mControl;
    private final Clocks mClocks;
    private final long mIncarnation;
    private final HeldMemory mHeldMemory = new HeldMemory();
    private final Quarantine mQuarantine;
    private final OversizeCaller mOversizeCaller;
    private final DispatchDuty mDispatch;
    private final QuarantineSynchronizer mQuarantineSynchronizer;
    private final MemoryReconciliation mMemoryReconciliation;

    UpstreamSubsystem(
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
        mOversizeCaller = createOversizeCaller(clients);
        mDispatch =
                new DispatchDuty(
                        createDispatcher(metrics),
                        mOversizeCaller,
                        control.configuration(),
                        observer,
                        clocks);
        mQuarantineSynchronizer =
                new QuarantineSynchronizer(
                        mQuarantine, mDispatch::run, network, settings.otherInstances());
        mMemoryReconciliation =
                new MemoryReconciliation(
                        settings,
                        incarnation,
                        control,
                        network,
                        mDispatch,
                        new HttpEngineMemory(clients),
                        mHeldMemory,
                        metrics,
                        clocks);
        registerMetrics(metrics);
    }

    void start() {
        mOversizeCaller.start();
        mDispatch.start();
        mMemoryReconciliation.start();
        mQuarantineSynchronizer.start();
    }

    /** Stops after the last work of this instance; the others then free what it left behind. */
    void stop() {
        mQuarantineSynchronizer.stop();
        mDispatch.stop();
        mOversizeCaller.stop();
        mMemoryReconciliation.stop();
    }

    DispatchDuty dispatch() {
        return mDispatch;
    }

    /** Returns whether admitted work, or the cleanup after it, still has to end. */
    boolean hasUnfinishedWork() {
        return mDispatch.running() > 0 || mOversizeCaller.open() > 0;
    }

    /** Ends all runs over several engines and gives back what they hold. */
    void abandonOversizeRuns() {
        mOversizeCaller.abandonAll();
    }

    /** Each attempt and export is accounted, or reconciliation would free it as forgotten. */
    private OversizeCaller createOversizeCaller(UpstreamClients clients) {
        HttpUpstreamCaller caller = new HttpUpstreamCaller(clients, mSettings.limits().bodyBytes());
        return new OversizeCaller(
                new AccountedCaller(caller, mHeldMemory, mClocks),
                new AccountedKvCalls(new KvClient(clients), mHeldMemory),
                mControl.configuration(),
                mClocks,
                new PartIds(mSettings.id(), mIncarnation),
                plan -> EngineAdmission.INSTANCE);
    }

    private Dispatcher createDispatcher(MetricRegistry metrics) {
        PermitHolder permits = new PermitHolder(mSettings.id(), mIncarnation);
        ColdPermits cold = new ColdPermits(permits);
        RoutingOptions routing = RoutingOptions.of(mSettings.domain(), mSettings.id().hashCode());
        PolicyDispatcher dispatcher =
                PolicyDispatcher.builder(new AttemptIds(mSettings.id(), mIncarnation), routing)
                        .coldAllowance(cold)
                        .recovery(new QuarantinedRecovery(new SimpleRecovery(), mQuarantine))
                        .build();
        return new PermitRenewingDispatcher(
                dispatcher, new PermitRenewal(permits, cold, mControl.permits(), metrics));
    }

    private void registerMetrics(MetricRegistry metrics) {
        Gauge<Integer> running = mDispatch::running;
        Gauge<Integer> marks = mQuarantineSynchronizer::markCount;
        Gauge<Integer> refused = mQuarantineSynchronizer::refusedCount;
        metrics.register("kumquatweir_requests_running", running);
        metrics.register("kumquatweir_quarantine_marks", marks);
        metrics.register("kumquatweir_quarantine_refused", refused);
    }
}
