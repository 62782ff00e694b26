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
 * What one instance knows of itself and of the system. It answers without a quorum too, with what
 * is known here. Thread-safe.
 */
final class StatusReport {
    private final InstanceSettings mSettings;
    private final ControlPlane mControl;
    private final DispatchDuty mDispatch;
    private final AgreedState mState;
    private final MemberEdits mMembers;
    private final Clocks mClocks;

    StatusReport(
            InstanceSettings settings,
            ControlPlane control,
            DispatchDuty dispatch,
            AgreedState state,
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
        LeasedConfiguration here = mControl.configuration().current();
        ObjectNode answer = JsonBodies.object();
        answer.put("instance", mSettings.id().value());
        answer.put("failure_domain", mSettings.domain().value());
        answer.put("running", mDispatch.running());
        writeInstances(answer.putArray("instances"), here.document());
        ObjectNode configuration = answer.putObject("configuration");
        configuration.put("version_here", here.version());
        configuration.put("lease_held_here", here.inForce(mClocks.nowNanos()));
        ArrayNode out = configuration.putArray("domains_out");
        here.document().domainsOutOfService().stream()
                .map(Object::toString)
                .sorted()
                .forEach(out::add);
        Either<OperatorFailure, ControlReply.Members> members = mMembers.members();
        members.peek(reply -> answer.set("group", MemberEdits.write(reply)))
                .peekLeft(
                        failure ->
                                answer.putObject("group")
                                        .put("type", failure.code())
                                        .put("message", failure.message()));
        if (members.isRight()) {
            writeForce(configuration);
        }
        writeUpstreams(answer.putArray("upstreams"), here.document());
        return answer;
    }

    /** Returns the upstreams known here. */
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

    private void writeForce(ObjectNode configuration) {
        mState.configuration(0)
                .map(kept -> kept.reply().version())
                .peek(version -> configuration.put("version", version))
                .flatMap(version -> mState.awaitForce(version, 0))
                .peek(
                        force -> {
                            configuration.put("in_force", force.inForce());
                            ArrayNode behind = configuration.putArray("behind");
                            force.pendingInstances().forEach(behind::add);
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
