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
 * Handlers of the operator API, one for each method and path. They block on the leader, so they
 * must run on virtual threads. Thread-safe.
 */
public final class OperatorRoutes {
    private static final String ROOT = "/operator/v1/";
    private static final String REQUEST_FILE = "request";

    private final InstanceSettings mSettings;
    private final ControlStateClient mState;
    private final ConfigurationEdits mEdits;
    private final MemberEdits mMembers;
    private final StatusReport mStatus;
    private final BurnAggregator mBurn;
    private final Clocks mClocks;

    /**
     * @param settings settings of this instance
     * @param control client of the control plane
     * @param dispatch source of the known upstreams and the number of running requests
     * @param stores queries instances for their store ids
     * @param burn collects the burn counters of all instances
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
        mState = new ControlStateClient(control, clocks);
        mEdits = new ConfigurationEdits(mState);
        mMembers = new MemberEdits(settings, mState, stores, clocks);
        mStatus = new StatusReport(settings, control, dispatch, mState, mMembers, clocks);
    }

    /** Handles a request; an unknown route is a failure. */
    Either<OperatorFailure, ObjectNode> handle(OperatorCall call) {
        return switch (call.route()) {
            case "GET " + ROOT + "status" -> Either.right(mStatus.report());
            case "GET " + ROOT + "burn" -> burnReport();
            case "GET " + ROOT + "configuration" -> readConfiguration(call);
            case "GET " + ROOT + "configuration/history" -> readHistory();
            case "GET " + ROOT + "configuration/diff" -> readDifference(call);
            case "GET " + ROOT + "configuration/force" -> mEdits.awaitInForce(call);
            case "POST " + ROOT + "configuration" -> applyDocument(call);
            case "POST " + ROOT + "profiles" -> applyProfile(call);
            case "POST " + ROOT + "domains/out" -> setDomainOutOfService(call, true);
            case "POST " + ROOT + "domains/in" -> setDomainOutOfService(call, false);
            case "POST " + ROOT + "upstreams/retire" -> setUpstreamRetired(call, true);
            case "POST " + ROOT + "upstreams/unretire" -> setUpstreamRetired(call, false);
            case "GET " + ROOT + "members" -> mMembers.list();
            case "POST " + ROOT + "members/add" -> mMembers.add(call);
            case "POST " + ROOT + "members/remove" -> mMembers.remove(call);
            case "POST " + ROOT + "members/replace" -> mMembers.replace(call);
            default -> Either.left(new OperatorFailure.UnknownName("path", call.route()));
        };
    }

    private Either<OperatorFailure, ObjectNode> burnReport() {
        return mState.configuration(0)
                .map(
                        stored ->
                                BurnReport.of(
                                        mBurn.aggregate(), stored.document(), mClocks.nowMillis()));
    }

    private Either<OperatorFailure, ObjectNode> readConfiguration(OperatorCall call) {
        return call.number("version", 0)
                .flatMap(mState::configuration)
                .map(
                        stored -> {
                            ObjectNode response = JsonBodies.object();
                            response.put("version", stored.reply().version());
                            response.set("document", ConfigurationWriter.toTree(stored.document()));
                            return response;
                        });
    }

    private Either<OperatorFailure, ObjectNode> readHistory() {
        return mState.configuration(0)
                .map(
                        stored -> {
                            ObjectNode response = JsonBodies.object();
                            response.put("version", stored.reply().version());
                            ArrayNode changes = response.putArray("changes");
                            stored.reply()
                                    .history()
                                    .forEach(change -> writeChange(changes, change));
                            return response;
                        });
    }

    private Either<OperatorFailure, ObjectNode> readDifference(OperatorCall call) {
        return call.number("from", 0)
                .flatMap(mState::configuration)
                .flatMap(
                        before ->
                                call.number("to", 0)
                                        .flatMap(mState::configuration)
                                        .map(after -> readDifference(before, after)));
    }

    private static ObjectNode readDifference(
            ControlStateClient.StoredConfiguration before,
            ControlStateClient.StoredConfiguration after) {
        ObjectNode response = JsonBodies.object();
        response.put("from", before.reply().version()).put("to", after.reply().version());
        ConfigurationEdits.writeDifference(
                response.putArray("difference"),
                ConfigurationDifference.between(before.document(), after.document()));
        return response;
    }

    private Either<OperatorFailure, ObjectNode> applyDocument(OperatorCall call) {
        if (!call.body().has("base_version")) {
            return Either.left(
                    new OperatorFailure.Malformed("base_version", "an integer is required"));
        }
        return call.text("toml")
                .flatMap(
                        toml ->
                                mEdits.apply(
                                        call,
                                        current ->
                                                ConfigurationMerge.replace(
                                                                current, REQUEST_FILE, toml)
                                                        .mapLeft(OperatorFailure.Invalid::new)));
    }

    private Either<OperatorFailure, ObjectNode> applyProfile(OperatorCall call) {
        return call.text("toml")
                .flatMap(
                        toml ->
                                mEdits.apply(
                                        call,
                                        current ->
                                                ProfileMerge.merge(current, REQUEST_FILE, toml)
                                                        .mapLeft(OperatorFailure.Invalid::new)));
    }

    private Either<OperatorFailure, ObjectNode> setDomainOutOfService(
            OperatorCall call, boolean out) {
        return call.identifier("domain", FailureDomain::new)
                .flatMap(
                        domain ->
                                mEdits.apply(
                                        call,
                                        current ->
                                                setDomainOutOfService(call, current, domain, out)));
    }

    private Either<OperatorFailure, ConfigurationDocument> setDomainOutOfService(
            OperatorCall call, ConfigurationDocument current, FailureDomain domain, boolean out) {
        return requireKnown(call, "failure domain", domain, name -> isKnownDomain(name, current))
                .map(
                        name ->
                                current.withDomainsOutOfService(
                                        withChange(current.domainsOutOfService(), name, out)));
    }

    private Either<OperatorFailure, ObjectNode> setUpstreamRetired(
            OperatorCall call, boolean retire) {
        return call.identifier("upstream", UpstreamId::new)
                .flatMap(
                        upstream ->
                                mEdits.apply(
                                        call,
                                        current ->
                                                setUpstreamRetired(
                                                        call, current, upstream, retire)));
    }

    private Either<OperatorFailure, ConfigurationDocument> setUpstreamRetired(
            OperatorCall call, ConfigurationDocument current, UpstreamId upstream, boolean retire) {
        return requireKnown(call, "upstream", upstream, name -> isKnownUpstream(name, current))
                .map(
                        name ->
                                current.withRetiredUpstreams(
                                        withChange(current.retiredUpstreams(), name, retire)));
    }

    /**
     * Rejects names that are not known, unless the caller allows them: with a mistyped name the
     * change would succeed and the operator would believe that the intended object is out of
     * service.
     */
    private static <T> Either<OperatorFailure, T> requireKnown(
            OperatorCall call, String kind, T name, Predicate<T> isKnown) {
        return call.flag("allow_unknown", false) || isKnown.test(name)
                ? Either.right(name)
                : Either.left(new OperatorFailure.UnknownName(kind, name.toString()));
    }

    private boolean isKnownDomain(FailureDomain domain, ConfigurationDocument current) {
        return current.domainsOutOfService().contains(domain)
                || mSettings.peers().stream().map(PeerSettings::domain).anyMatch(domain::equals)
                || mStatus.upstreams().stream().map(Announcement::domain).anyMatch(domain::equals);
    }

    private boolean isKnownUpstream(UpstreamId upstream, ConfigurationDocument current) {
        return current.retiredUpstreams().contains(upstream)
                || mStatus.upstreams().stream().map(Announcement::id).anyMatch(upstream::equals);
    }

    /** Returns a copy of the set with the name added or removed. */
    private static <T> Set<T> withChange(Set<T> names, T name, boolean add) {
        Set<T> copy = new HashSet<>(names);
        if (add) {
            copy.add(name);
        } else {
            copy.remove(name);
        }
        return copy;
    }

    private static void writeChange(ArrayNode changes, ConfigurationChange change) {
        changes.addObject()
                .put("version", change.version())
                .put("base_version", change.baseVersion())
                .put("changed_by", change.changedBy())
                .put("changed_at_ms", change.changedAtMillis())
                .put("command_id", change.command().value());
    }
}
