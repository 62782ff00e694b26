package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.UpstreamCaller;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.policy.registry.Announcement;

/** Sends attempts over HTTP: to engines by the engine protocol, to plain services as they are. */
public final class HttpUpstreamCaller implements UpstreamCaller {
    private final UpstreamClients mClients;
    private final EngineClient mEngines;
    private final ServiceClient mServices;

    /**
     * @param clients HTTP clients; closed by their owner
     * @param largestAnswerBytes largest answer of a plain service
     */
    public HttpUpstreamCaller(UpstreamClients clients, long largestAnswerBytes) {
        mClients = clients;
        mEngines = new EngineClient(clients);
        mServices = new ServiceClient(clients, largestAnswerBytes);
    }

    @Override
    public Runnable start(AttemptOrder order, AttemptListener listener) {
        return switch (order.work()) {
            case Work.Generation generation -> mEngines.generate(order, generation, listener);
            case Work.ServiceCall call -> mServices.call(order, call, listener);
        };
    }

    @Override
    public void cancel(Announcement upstream, AttemptId attempt) {
        if (upstream.kind() == UpstreamKind.ENGINE) {
            mEngines.cancel(upstream, attempt);
        }
    }

    @Override
    public void replaceConnections(Announcement upstream) {
        mClients.replace(upstream.address());
    }
}
