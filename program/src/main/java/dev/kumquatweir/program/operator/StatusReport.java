package dev.kumquatweir.program.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.control.LeasedConfiguration;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.control.ControlReply;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.settings.PeerSettings;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * Builds the status report of one instance: its own state and its view of the system. Without a
 * quorum the report still has the local view, and a failure in place of the group. Blocks on the
 * leader, so it must run on a virtual thread. Thread-safe.
 */
final class StatusReport {
    private final InstanceSettings mSettings;
    private final ControlPlane mControl;
    private final DispatchDuty mDispatch;
    private final ControlStateClient mState;
    private final MemberEdits mMembers;
    private final Clocks mClocks;

    StatusReport(
            InstanceSettings settings,
            ControlPlane control,
            DispatchDuty dispatch,
            ControlStateClient state,
            MemberEdits members,
            Clocks clocks) {
        mSettings = settings;
        mControl = control;
        mDispatch = dispatch;
        mState = state;
        mMembers = members;
        mClocks = clocks;
    }

    ObjectNode report() {
        LeasedConfiguration localConfiguration = mControl.configuration().current();
        ObjectNode response = JsonBodies.object();
        response.put("instance", mSettings.id().value());
        response.put("failure_domain", mSettings.domain().value());
        response.put("running", mDispatch.running());
        writeInstances(response.putArray("instances"), localConfiguration.document());
        ObjectNode configuration = response.putObject("configuration");
        configuration.put("version_here", localConfiguration.version());
        configuration.put("lease_held_here", localConfiguration.inForce(mClocks.nowNanos()));
        ArrayNode domainsOut = configuration.putArray("domains_out");
        localConfiguration.document().domainsOutOfService().stream()
                .map(Object::toString)
                .sorted()
                .forEach(domainsOut::add);
        Either<OperatorFailure, ControlReply.Members> members = mMembers.members();
        members.peek(reply -> response.set("group", MemberEdits.toJson(reply)))
                .peekLeft(
                        failure ->
                                response.putObject("group")
                                        .put("type", failure.code())
                                        .put("message", failure.message()));
        if (members.isRight()) {
            writeInForce(configuration);
        }
        writeUpstreams(response.putArray("upstreams"), localConfiguration.document());
        return response;
    }

    /** Returns the upstreams that this instance knows, ordered by id. */
    List<Announcement> upstreams() {
        return mDispatch.upstreams().toCompletableFuture().join().stream()
                .sorted(Comparator.comparing(Announcement::id))
                .toList();
    }

    private void writeInstances(ArrayNode array, ConfigurationDocument document) {
        for (PeerSettings peer : mSettings.peers()) {
            array.addObject()
                    .put("id", peer.id().value())
                    .put("failure_domain", peer.domain().value())
                    .put("domain_out", document.domainsOutOfService().contains(peer.domain()));
        }
    }

    private void writeInForce(ObjectNode configuration) {
        mState.configuration(0)
                .map(stored -> stored.reply().version())
                .peek(version -> configuration.put("version", version))
                .flatMap(version -> mState.awaitInForce(version, 0))
                .peek(
                        rollout -> {
                            configuration.put("in_force", rollout.inForce());
                            ArrayNode behind = configuration.putArray("behind");
                            rollout.pendingInstances().forEach(behind::add);
                        });
    }

    private void writeUpstreams(ArrayNode array, ConfigurationDocument document) {
        for (Announcement upstream : upstreams()) {
            ObjectNode node = array.addObject();
            node.put("id", upstream.id().value());
            node.put("service", upstream.service().value());
            node.put("kind", upstream.kind().name().toLowerCase(Locale.ROOT));
            node.put("failure_domain", upstream.domain().value());
            node.put("address", upstream.address());
            node.put("cold", upstream.cold());
            node.put("state", state(upstream, document));
            node.put("memory_tokens", upstream.memoryTokens());
            node.put("max_running", upstream.maximumRunning());
            ArrayNode models = node.putArray("models");
            upstream.models().stream().map(Object::toString).sorted().forEach(models::add);
        }
    }

    private static String state(Announcement upstream, ConfigurationDocument document) {
        if (document.retiredUpstreams().contains(upstream.id())) {
            return "retired";
        }
        return document.domainsOutOfService().contains(upstream.domain())
                ? "domain_out"
                : "serving";
    }
}
