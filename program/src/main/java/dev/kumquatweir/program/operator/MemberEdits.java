package dev.kumquatweir.program.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.raft.MembershipChange;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.program.control.ControlFailure;
import dev.kumquatweir.program.control.ControlReply;
import dev.kumquatweir.program.control.ControlRequest;
import dev.kumquatweir.program.control.ReplicaIdentityClient;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.settings.PeerSettings;
import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiFunction;

/**
 * Changes the membership of the Raft group. Each operation reads the current members first and
 * skips the steps that are already done, so it can be resent after a lost response. Blocks on the
 * leader, so it must run on a virtual thread. Thread-safe.
 */
final class MemberEdits {
    private static final EventLog LOG = EventLog.of(MemberEdits.class);
    private static final long CATCH_UP_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Reasons of refusals that are worth a retry, since they clear without intervention. */
    private static final List<String> TRANSIENT_REFUSALS =
            List.of("not_caught_up", "change_in_progress", "leader_not_ready", "overloaded");

    private final InstanceSettings mSettings;
    private final ControlStateClient mState;
    private final ReplicaIdentityClient mStoreIds;
    private final Clocks mClocks;

    MemberEdits(
            InstanceSettings settings,
            ControlStateClient state,
            ReplicaIdentityClient storeIds,
            Clocks clocks) {
        mSettings = settings;
        mState = state;
        mStoreIds = storeIds;
        mClocks = clocks;
    }

    /** The replica that is to join, and its peer address. */
    private record JoiningMember(MemberId id, String address) {}

    Either<OperatorFailure, ObjectNode> list() {
        return members().map(MemberEdits::toJson);
    }

    /** Adds an instance as a learner and promotes it when it has caught up. */
    Either<OperatorFailure, ObjectNode> add(OperatorCall call) {
        return parseJoiningMember(call)
                .flatMap(member -> joinAndPromote(call, member, MembershipChange.AddLearner::new));
    }

    /**
     * Replaces the replica of a member, such as one whose disk was lost, by the replica that its
     * instance has now, and promotes the new one when it has caught up.
     */
    Either<OperatorFailure, ObjectNode> replace(OperatorCall call) {
        return parseJoiningMember(call)
                .flatMap(member -> joinAndPromote(call, member, MembershipChange.Replace::new));
    }

    /** Removes a member; succeeds if the member is already absent. */
    Either<OperatorFailure, ObjectNode> remove(OperatorCall call) {
        return call.identifier("name", InstanceId::new)
                .map(InstanceId::value)
                .flatMap(
                        name ->
                                findMember(name)
                                        .flatMap(
                                                member ->
                                                        member.isEmpty()
                                                                ? Either.right(
                                                                        new ControlReply.Done())
                                                                : changeWithRetries(
                                                                        call,
                                                                        new MembershipChange.Remove(
                                                                                name))))
                .flatMap(done -> list());
    }

    static ObjectNode toJson(ControlReply.Members members) {
        ObjectNode response = JsonBodies.object();
        response.put("leader", members.leader());
        response.put("term", members.term());
        response.put("commit_index", members.commitIndex());
        ArrayNode array = response.putArray("members");
        members.members()
                .forEach(
                        member ->
                                array.addObject()
                                        .put("name", member.id().name())
                                        .put("role", roleName(member))
                                        .put("address", member.address())
                                        .put("store", member.id().storeId()));
        return response;
    }

    Either<OperatorFailure, ControlReply.Members> members() {
        return mState.request(new ControlRequest.ReadMembers(), ControlReply.Members.class);
    }

    private Either<OperatorFailure, JoiningMember> parseJoiningMember(OperatorCall call) {
        return call.identifier("name", InstanceId::new)
                .flatMap(
                        name ->
                                resolveAddress(call, name)
                                        .flatMap(
                                                address ->
                                                        resolveMemberId(call, name)
                                                                .map(
                                                                        id ->
                                                                                new JoiningMember(
                                                                                        id,
                                                                                        address))));
    }

    private Either<OperatorFailure, String> resolveAddress(OperatorCall call, InstanceId name) {
        String specified = call.textOrEmpty("address");
        if (!specified.isEmpty()) {
            return Either.right(specified);
        }
        return mSettings.peers().stream()
                .filter(peer -> peer.id().equals(name))
                .map(PeerSettings::address)
                .map(address -> address.getHostString() + ":" + address.getPort())
                .findFirst()
                .<Either<OperatorFailure, String>>map(Either::right)
                .orElseGet(
                        () -> Either.left(new OperatorFailure.UnknownName("instance", "" + name)));
    }

    private Either<OperatorFailure, MemberId> resolveMemberId(OperatorCall call, InstanceId name) {
        String specified = call.textOrEmpty("store");
        if (!specified.isEmpty()) {
            return Either.right(new MemberId(name.value(), specified));
        }
        return mStoreIds
                .requestIdentity(name)
                .toCompletableFuture()
                .join()
                .mapLeft(
                        failure ->
                                new OperatorFailure.StoreUnknown(name.value(), failure.message()));
    }

    private Either<OperatorFailure, ObjectNode> joinAndPromote(
            OperatorCall call,
            JoiningMember joining,
            BiFunction<MemberId, String, MembershipChange> change) {
        return findMember(joining.id().name())
                .flatMap(
                        existing ->
                                existing.filter(present -> present.id().equals(joining.id()))
                                                .isPresent()
                                        ? Either.right(new ControlReply.Done())
                                        : changeWithRetries(
                                                call,
                                                change.apply(joining.id(), joining.address())))
                .flatMap(done -> promote(call, joining.id()));
    }

    /**
     * Promotes a learner unless the caller asked for a learner only. The learner is already a
     * member, so a promotion that is not possible yet is reported as waiting, not as a failure.
     */
    private Either<OperatorFailure, ObjectNode> promote(OperatorCall call, MemberId id) {
        Optional<Member> existing = findMember(id.name()).getOrElse(Optional.empty());
        boolean promotionNeeded =
                call.flag("voter", true) && existing.filter(Member::isVoter).isEmpty();
        Either<OperatorFailure, ControlReply> promoted =
                promotionNeeded
                        ? changeWithRetries(call, new MembershipChange.Promote(id))
                        : Either.right(new ControlReply.Done());
        return list().map(
                        response -> {
                            promoted.peekLeft(
                                    failure ->
                                            response.putObject("waiting")
                                                    .put("type", failure.code())
                                                    .put("message", failure.message()));
                            return response.put("name", id.name())
                                    .put("store", id.storeId())
                                    .put("complete", promoted.isRight());
                        });
    }

    /** Requests a membership change and retries transient refusals until the timeout. */
    private Either<OperatorFailure, ControlReply> changeWithRetries(
            OperatorCall call, MembershipChange change) {
        long startNanos = mClocks.nowNanos();
        while (true) {
            Either<OperatorFailure, ControlReply> result =
                    mState.requestChange(new ControlRequest.ChangeMembers(change));
            if (result.isRight()) {
                LOG.info("members_change", "operator", call.operator(), "change", change);
                return result;
            }
            boolean timedOut = mClocks.nowNanos() - startNanos >= CATCH_UP_TIMEOUT_NANOS;
            if (timedOut || !isTransient(result.getLeft())) {
                return result;
            }
            LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
        }
    }

    private Either<OperatorFailure, Optional<Member>> findMember(String name) {
        return members()
                .map(
                        members ->
                                members.members().stream()
                                        .filter(member -> member.id().name().equals(name))
                                        .findFirst());
    }

    private static boolean isTransient(OperatorFailure failure) {
        return failure instanceof OperatorFailure.Control control
                && control.cause() instanceof ControlFailure.Refused refused
                && TRANSIENT_REFUSALS.contains(refused.reason());
    }

    private static String roleName(Member member) {
        return member.role().name().toLowerCase(Locale.ROOT);
    }
}
