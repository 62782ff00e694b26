package dev.kumquatweir.program.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.agreement.state.ConfigurationChange;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.DispatchDuty;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.program.burn.BurnAggregator;
import dev.kumquatweir.program.burn.BurnReport;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.control.ReplicaIdentityClient;
import dev.kumquatweir.settings.ConfigurationDifference;
import dev.kumquatweir.settings.ConfigurationMerge;
import dev.kumquatweir.settings.ConfigurationWriter;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.settings.PeerSettings;
import dev.kumquatweir.settings.ProfileMerge;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What each path of the operators' listener does. Waits for the leader, so it is called from
 * virtual threads only. Thread-safe.
 */
public final class OperatorRoutes {
    private static final String ROOT = "/operator/v1/";
    private static final String REQUEST_FILE = "request";

    private final InstanceSettings mSettings;
    private final AgreedState mState;
    private final ConfigurationEdits mEdits;
    private final MemberEdits mMembers;
    private final StatusReport mStatus;
    private final BurnAggregator mBurn;
    private final Clocks mClocks;

    /**
     * @param settings settings of this instance
     * @param control connection to the agreed state
     * @param dispatch knows the upstreams and what runs
     * @param stores asks instances for their store ids
     * @param burn counters of all instances
     * @param clocks clocks of the process
     */
    public OperatorRoutes(
            InstanceSettings settings,
            ControlPlane control,
            DispatchDuty dispatch,
            ReplicaIdentityClient stores,
            BurnAggregator burn,
            Clocks clocks) {
        mSettings = settings;
        mBurn = burn;
        mClocks = clocks;
        mState = new AgreedState(control, clocks);
        mEdits = new ConfigurationEdits(mState);
        mMembers = new MemberEdits(settings, mState, stores, clocks);
        mStatus = new StatusReport(settings, control, dispatch, mState, mMembers, clocks);
    }

    /** Carries out a request. */
    Either<OperatorFailure, ObjectNode> answer(OperatorCall call) {
        return switch (call.route()) {
            case "GET " + ROOT + "status" -> Either.right(mStatus.report());
            case "GET " + ROOT + "burn" -> burn();
            case "GET " + ROOT + "configuration" -> configuration(call);
            case "GET " + ROOT + "configuration/history" -> history();
            case "GET " + ROOT + "configuration/diff" -> difference(call);
            case "GET " + ROOT + "configuration/force" -> mEdits.force(call);
            case "POST " + ROOT + "configuration" -> applyDocument(call);
            case "POST " + ROOT + "profiles" -> applyProfile(call);
            case "POST " + ROOT + "domains/out" -> domain(call, true);
            case "POST " + ROOT + "domains/in" -> domain(call, false);
            case "POST " + ROOT + "upstreams/retire" -> upstream(call, true);
            case "POST " + ROOT + "upstreams/unretire" -> upstream(call, false);
            case "GET " + ROOT + "members" -> mMembers.list();
            case "POST " + ROOT + "members/add" -> mMembers.add(call);
            case "POST " + ROOT + "members/remove" -> mMembers.remove(call);
            case "POST " + ROOT + "members/replace" -> mMembers.replace(call);
            default -> Either.left(new OperatorFailure.UnknownName("path", call.route()));
        };
    }

    private Either<OperatorFailure, ObjectNode> burn() {
        return mState.configuration(0)
                .map(
                        kept ->
                                BurnReport.of(
                                        mBurn.aggregate(), kept.document(), mClocks.nowMillis()));
    }

    private Either<OperatorFailure, ObjectNode> configuration(OperatorCall call) {
        return call.number("version", 0)
                .flatMap(mState::configuration)
                .map(
                        kept -> {
                            ObjectNode answer = JsonBodies.object();
                            answer.put("version", kept.reply().version());
                            answer.set("document", ConfigurationWriter.toTree(kept.document()));
                            return answer;
                        });
    }

    private Either<OperatorFailure, ObjectNode> history() {
        return mState.configuration(0)
                .map(
                        kept -> {
                            ObjectNode answer = JsonBodies.object();
                            answer.put("version", kept.reply().version());
                            ArrayNode changes = answer.putArray("changes");
                            kept.reply().history().forEach(change -> write(changes, change));
                            return answer;
                        });
    }

    private Either<OperatorFailure, ObjectNode> difference(OperatorCall call) {
        return call.number("from", 0)
                .flatMap(mState::configuration)
                .flatMap(
                        before ->
                                call.number("to", 0)
                                        .flatMap(mState::configuration)
                                        .map(after -> difference(before, after)));
    }

    private static ObjectNode difference(AgreedState.Kept before, AgreedState.Kept after) {
        ObjectNode answer = JsonBodies.object();
        answer.put("from", before.reply().version()).put("to", after.reply().version());
        ConfigurationEdits.writeDifference(
                answer.putArray("difference"),
                ConfigurationDifference.between(before.document(), after.document()));
        return answer;
    }

    private Either<OperatorFailure, ObjectNode> applyDocument(OperatorCall call) {
        if (!call.body().has("base_version")) {
            return Either.left(
                    new OperatorFailure.Malformed("base_version", "a whole number is needed"));
        }
        return call.text("toml")
                .flatMap(
                        toml ->
                                mEdits.apply(
                                        call,
                                        present ->
                                                ConfigurationMerge.replace(
                                                                present, REQUEST_FILE, toml)
                                                        .mapLeft(OperatorFailure.Invalid::new)));
    }

    private Either<OperatorFailure, ObjectNode> applyProfile(OperatorCall call) {
        return call.text("toml")
                .flatMap(
                        toml ->
                                mEdits.apply(
                                        call,
                                        present ->
                                                ProfileMerge.merge(present, REQUEST_FILE, toml)
                                                        .mapLeft(OperatorFailure.Invalid::new)));
    }

    private Either<OperatorFailure, ObjectNode> domain(OperatorCall call, boolean out) {
        return call.identifier("domain", FailureDomain::new)
                .flatMap(
                        domain ->
                                mEdits.apply(call, present -> domain(call, present, domain, out)));
    }

    private Either<OperatorFailure, ConfigurationDocument> domain(
            OperatorCall call, ConfigurationDocument present, FailureDomain domain, boolean out) {
        return known(call, "failure domain", domain, name -> isDomain(name, present))
                .map(
                        name ->
                                present.withDomainsOutOfService(
                                        edited(present.domainsOutOfService(), name, out)));
    }

    private Either<OperatorFailure, ObjectNode> upstream(OperatorCall call, boolean retire) {
        return call.identifier("upstream", UpstreamId::new)
                .flatMap(
                        upstream ->
                                mEdits.apply(
                                        call,
                                        present -> upstream(call, present, upstream, retire)));
    }

    private Either<OperatorFailure, ConfigurationDocument> upstream(
            OperatorCall call, ConfigurationDocument present, UpstreamId upstream, boolean retire) {
        return known(call, "upstream", upstream, name -> isUpstream(name, present))
                .map(
                        name ->
                                present.withRetiredUpstreams(
                                        edited(present.retiredUpstreams(), name, retire)));
    }

    /** A mistyped name would leave the operator believing that something is out of service. */
    private static <T> Either<OperatorFailure, T> known(
            OperatorCall call, String kind, T name, Predicate<T> isKnown) {
        return call.flag("allow_unknown", false) || isKnown.test(name)
                ? Either.right(name)
                : Either.left(new OperatorFailure.UnknownName(kind, name.toString()));
    }

    private boolean isDomain(FailureDomain domain, ConfigurationDocument present) {
        return present.domainsOutOfService().contains(domain)
                || mSettings.peers().stream().map(PeerSettings::domain).anyMatch(domain::equals)
                || mStatus.upstreams().stream().map(Announcement::domain).anyMatch(domain::equals);
    }

    private boolean isUpstream(UpstreamId upstream, ConfigurationDocument present) {
        return present.retiredUpstreams().contains(upstream)
                || mStatus.upstreams().stream().map(Announcement::id).anyMatch(upstream::equals);
    }

    private static <T> Set<T> edited(Set<T> names, T name, boolean add) {
        Set<T> copy = new HashSet<>(names);
        if (add) {
            copy.add(name);
        } else {
            copy.remove(name);
        }
        return copy;
    }

    private static void write(ArrayNode changes, ConfigurationChange change) {
        changes.addObject()
                .put("version", change.version())
                .put("base_version", change.baseVersion())
                .put("changed_by", change.changedBy())
                .put("changed_at_ms", change.changedAtMillis())
                .put("command_id", change.command().value());
    }
}
