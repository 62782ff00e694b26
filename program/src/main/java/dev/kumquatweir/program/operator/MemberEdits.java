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
 * Changes the members of the group. Each change looks at the present members first, so that it may
 * be sent again after a lost answer. Thread-safe.
 */
final class MemberEdits {
    private static final EventLog LOG = EventLog.of(MemberEdits.class);
    private static final long CATCH_UP_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Refusals that pass by themselves. */
    private static final List<String> PASSING =
            List.of("not_caught_up", "change_in_progress", "leader_not_ready", "overloaded");

    private final InstanceSettings mSettings;
    private final AgreedState mState;
    private final ReplicaIdentityClient mStores;
    private final Clocks mClocks;

    MemberEdits(
            InstanceSettings settings,
            AgreedState state,
            ReplicaIdentityClient stores,
            Clocks clocks) {
        mSettings = settings;
        mState = state;
        mStores = stores;
        mClocks = clocks;
    }

    private record Newcomer(MemberId id, String address) {}

    Either<OperatorFailure, ObjectNode> list() {
        return members().map(MemberEdits::write);
    }

    /** Adds an instance as a learner and promotes it when it has caught up. */
    Either<OperatorFailure, ObjectNode> add(OperatorCall call) {
        return newcomer(call)
                .flatMap(newcomer -> bring(call, newcomer, MembershipChange.AddLearner::new));
    }

    /** Replaces a member by the replica that its instance has now, and promotes that. */
    Either<OperatorFailure, ObjectNode> replace(OperatorCall call) {
        return newcomer(call)
                .flatMap(newcomer -> bring(call, newcomer, MembershipChange.Replace::new));
    }

    Either<OperatorFailure, ObjectNode> remove(OperatorCall call) {
        return call.identifier("name", InstanceId::new)
                .map(InstanceId::value)
                .flatMap(
                        name ->
                                find(name)
                                        .flatMap(
                                                member ->
                                                        member.isEmpty()
                                                                ? Either.right(
                                                                        new ControlReply.Done())
                                                                : persist(
                                                                        call,
                                                                        new MembershipChange.Remove(
                                                                                name))))
                .flatMap(done -> list());
    }

    static ObjectNode write(ControlReply.Members members) {
        ObjectNode answer = JsonBodies.object();
        answer.put("leader", members.leader());
        answer.put("term", members.term());
        answer.put("commit_index", members.commitIndex());
        ArrayNode array = answer.putArray("members");
        members.members()
                .forEach(
                        member ->
                                array.addObject()
                                        .put("name", member.id().name())
                                        .put("role", roleName(member))
                                        .put("address", member.address())
                                        .put("store", member.id().storeId()));
        return answer;
    }

    Either<OperatorFailure, ControlReply.Members> members() {
        return mState.ask(new ControlRequest.ReadMembers(), ControlReply.Members.class);
    }

    private Either<OperatorFailure, Newcomer> newcomer(OperatorCall call) {
        return call.identifier("name", InstanceId::new)
                .flatMap(
                        name ->
                                address(call, name)
                                        .flatMap(
                                                address ->
                                                        memberId(call, name)
                                                                .map(
                                                                        id ->
                                                                                new Newcomer(
                                                                                        id,
                                                                                        address))));
    }

    private Either<OperatorFailure, String> address(OperatorCall call, InstanceId name) {
        String given = call.textOrEmpty("address");
        if (!given.isEmpty()) {
            return Either.right(given);
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

    private Either<OperatorFailure, MemberId> memberId(OperatorCall call, InstanceId name) {
        String given = call.textOrEmpty("store");
        if (!given.isEmpty()) {
            return Either.right(new MemberId(name.value(), given));
        }
        return mStores.requestIdentity(name)
                .toCompletableFuture()
                .join()
                .mapLeft(
                        failure ->
                                new OperatorFailure.StoreUnknown(name.value(), failure.message()));
    }

    private Either<OperatorFailure, ObjectNode> bring(
            OperatorCall call,
            Newcomer newcomer,
            BiFunction<MemberId, String, MembershipChange> change) {
        return find(newcomer.id().name())
                .flatMap(
                        member ->
                                member.filter(present -> present.id().equals(newcomer.id()))
                                                .isPresent()
                                        ? Either.right(new ControlReply.Done())
                                        : persist(
                                                call,
                                                change.apply(newcomer.id(), newcomer.address())))
                .flatMap(done -> promote(call, newcomer.id()));
    }

    /** The learner is a member already, so a promotion that has to wait is no failure. */
    private Either<OperatorFailure, ObjectNode> promote(OperatorCall call, MemberId id) {
        Optional<Member> present = find(id.name()).getOrElse(Optional.empty());
        boolean wanted = call.flag("voter", true) && present.filter(Member::isVoter).isEmpty();
        Either<OperatorFailure, ControlReply> promoted =
                wanted
                        ? persist(call, new MembershipChange.Promote(id))
                        : Either.right(new ControlReply.Done());
        return list().map(
                        answer -> {
                            promoted.peekLeft(
                                    failure ->
                                            answer.putObject("waiting")
                                                    .put("type", failure.code())
                                                    .put("message", failure.message()));
                            return answer.put("name", id.name())
                                    .put("store", id.storeId())
                                    .put("complete", promoted.isRight());
                        });
    }

    /** Makes a change, again and again while its refusal is one that passes. */
    private Either<OperatorFailure, ControlReply> persist(
            OperatorCall call, MembershipChange change) {
        long startNanos = mClocks.nowNanos();
        while (true) {
            Either<OperatorFailure, ControlReply> result =
                    mState.carryOut(new ControlRequest.ChangeMembers(change));
            if (result.isRight()) {
                LOG.info("members_change", "operator", call.operator(), "change", change);
                return result;
            }
            boolean late = mClocks.nowNanos() - startNanos >= CATCH_UP_LIMIT_NANOS;
            if (late || !passes(result.getLeft())) {
                return result;
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private Either<OperatorFailure, Optional<Member>> find(String name) {
        return members()
                .map(
                        members ->
                                members.members().stream()
                                        .filter(member -> member.id().name().equals(name))
                                        .findFirst());
    }

    private static boolean passes(OperatorFailure failure) {
        return failure instanceof OperatorFailure.Control control
                && control.cause() instanceof ControlFailure.Refused refused
                && PASSING.contains(refused.reason());
    }

    private static String roleName(Member member) {
        return member.role().name().toLowerCase(Locale.ROOT);
    }
}
