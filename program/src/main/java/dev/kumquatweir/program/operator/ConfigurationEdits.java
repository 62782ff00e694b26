package dev.kumquatweir.program.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.agreement.state.ConfigurationChange;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.program.control.ControlFailure;
import dev.kumquatweir.program.control.ControlReply;
import dev.kumquatweir.program.control.ControlRequest;
import dev.kumquatweir.settings.ConfigurationDifference;
import dev.kumquatweir.settings.ConfigurationWriter;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Carries out changes of the configuration. A change that names its base version is tried once; one
 * that does not is made from the newest version and made again when another change comes between.
 * Each try has a command id of its own, derived from the operator's, so that the same command sent
 * again meets the recorded results of the same tries. Thread-safe.
 */
final class ConfigurationEdits {
    private static final EventLog LOG = EventLog.of(ConfigurationEdits.class);
    private static final String COMMAND = "command_id";
    private static final String BASE = "base_version";
    private static final String WAIT = "wait_ms";
    private static final String TRY_MARK = "@try";
    private static final int TRIES = 5;
    private static final long NO_BASE = Long.MAX_VALUE;
    private static final long DEFAULT_WAIT_MILLIS = 5_000;
    private static final long LONGEST_WAIT_MILLIS = 30_000;

    private final AgreedState mState;

    ConfigurationEdits(AgreedState state) {
        mState = state;
    }

    /** Makes the new document from the newest one. */
    interface Edit
            extends Function<
                    ConfigurationDocument, Either<OperatorFailure, ConfigurationDocument>> {}

    private record Order(CommandId command, String operator, long base, long waitMillis) {
        CommandId tryId(int number) {
            return number == 1 ? command : new CommandId(command + TRY_MARK + number);
        }

        boolean made(ConfigurationChange change) {
            String id = change.command().value();
            return id.equals(command.value()) || id.startsWith(command + TRY_MARK);
        }
    }

    /** Applies an edit; the answer says which version it made and whether that is in force. */
    Either<OperatorFailure, ObjectNode> apply(OperatorCall call, Edit edit) {
        return order(call)
                .flatMap(order -> version(order, edit).flatMap(version -> answer(order, version)));
    }

    /** Returns whether a version is in force, after waiting for it up to the caller's limit. */
    Either<OperatorFailure, ObjectNode> force(OperatorCall call) {
        return call.number("version", 0)
                .flatMap(
                        version ->
                                call.number(WAIT, 0)
                                        .flatMap(wait -> force(version, wait))
                                        .map(answer -> answer.put("version", version)));
    }

    /** Writes the entries of a difference. */
    static ArrayNode writeDifference(ArrayNode array, ConfigurationDifference difference) {
        difference
                .entries()
                .forEach(
                        entry ->
                                array.addObject()
                                        .put("kind", entry.kindName())
                                        .put("path", entry.path())
                                        .put("before", entry.before())
                                        .put("after", entry.after()));
        return array;
    }

    private static Either<OperatorFailure, Order> order(OperatorCall call) {
        return call.identifier(COMMAND, ConfigurationEdits::commandId)
                .flatMap(command -> order(call, command));
    }

    private static Either<OperatorFailure, Order> order(OperatorCall call, CommandId command) {
        return call.number(BASE, NO_BASE)
                .flatMap(
                        base ->
                                call.number(WAIT, DEFAULT_WAIT_MILLIS)
                                        .map(
                                                wait ->
                                                        new Order(
                                                                command,
                                                                call.operator(),
                                                                base,
                                                                wait)));
    }

    /** Checks the longest id that is derived from the command's, so that no later try fails. */
    private static CommandId commandId(String text) {
        CommandId longest = new CommandId(text + TRY_MARK + TRIES);
        return new CommandId(
                longest.value().substring(0, longest.value().length() - TRY_MARK.length() - 1));
    }

    private Either<OperatorFailure, Long> version(Order order, Edit edit) {
        Either<OperatorFailure, Long> result =
                Either.left(new OperatorFailure.Control(new ControlFailure.LeaderUnreachable()));
        int tries = order.base() == NO_BASE ? TRIES : 1;
        for (int number = 1; number <= tries; number++) {
            CommandId command = order.tryId(number);
            result = mState.configuration(0).flatMap(kept -> attempt(order, command, kept, edit));
            if (result.isRight() || !(result.getLeft() instanceof OperatorFailure.Conflict)) {
                return result;
            }
        }
        return result;
    }

    private Either<OperatorFailure, Long> attempt(
            Order order, CommandId command, AgreedState.Kept kept, Edit edit) {
        Optional<ConfigurationChange> seen =
                kept.reply().history().stream().filter(order::made).findFirst();
        if (seen.isPresent()) {
            return Either.right(seen.get().version());
        }
        long base = order.base() == NO_BASE ? kept.reply().version() : order.base();
        return edit.apply(kept.document())
                .map(
                        document ->
                                new StateCommand.ApplyConfiguration(
                                        0,
                                        command,
                                        order.operator(),
                                        base,
                                        ConfigurationWriter.toStored(document)))
                .flatMap(
                        proposal ->
                                mState.ask(
                                        new ControlRequest.Propose(proposal),
                                        ControlReply.Applied.class))
                .flatMap(applied -> accepted(order, base, applied.result()));
    }

    private Either<OperatorFailure, Long> accepted(Order order, long base, StateResult result) {
        return switch (result) {
            case StateResult.ConfigurationAccepted accepted -> {
                LOG.info(
                        "configuration_changed",
                        "operator",
                        order.operator(),
                        "command",
                        order.command(),
                        "base",
                        base,
                        "version",
                        accepted.version());
                yield Either.right(accepted.version());
            }
            case StateResult.ConfigurationConflict conflict ->
                    Either.left(
                            new OperatorFailure.Conflict(
                                    base,
                                    conflict.currentVersion(),
                                    conflict.changedBy(),
                                    conflict.changedAtMillis(),
                                    difference(base, conflict.currentVersion())));
            case StateResult.DocumentTooLarge tooLarge ->
                    Either.left(new OperatorFailure.TooLarge(tooLarge.limitBytes()));
            default ->
                    Either.left(
                            new OperatorFailure.Control(
                                    new ControlFailure.Malformed("unexpected result")));
        };
    }

    private Optional<ConfigurationDifference> difference(long base, long current) {
        if (base == 0) {
            return Optional.empty();
        }
        return mState.configuration(base)
                .flatMap(
                        before ->
                                mState.configuration(current)
                                        .map(
                                                after ->
                                                        ConfigurationDifference.between(
                                                                before.document(),
                                                                after.document())))
                .toJavaOptional();
    }

    /** The change is made, so a failure to learn whether it is in force is no failure of it. */
    private Either<OperatorFailure, ObjectNode> answer(Order order, long version) {
        ObjectNode force = force(version, order.waitMillis()).getOrElseGet(this::forceUnknown);
        return Either.right(force.put(COMMAND, order.command().value()).put("version", version));
    }

    private ObjectNode forceUnknown(OperatorFailure failure) {
        return JsonBodies.object().put("in_force", false).put("force_unknown", failure.code());
    }

    private Either<OperatorFailure, ObjectNode> force(long version, long waitMillis) {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(waitMillis, LONGEST_WAIT_MILLIS));
        return mState.awaitForce(version, limitNanos)
                .map(
                        force -> {
                            ObjectNode answer = JsonBodies.object();
                            answer.put("in_force", force.inForce());
                            ArrayNode behind = answer.putArray("behind");
                            force.pendingInstances().forEach(behind::add);
                            return answer.put("in_force_within_ms", force.remainingMillis());
                        });
    }
}
