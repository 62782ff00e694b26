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
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Applies changes to the configuration with optimistic concurrency control. A change that names its
 * base version is attempted once. A change without one is computed from the newest version and
 * retried if another change is committed in between. Each attempt has its own command id, derived
 * from the operator's, so that a resent command finds the recorded results of the same attempts and
 * is applied once. Blocks on the leader, so it must run on a virtual thread. Thread-safe.
 */
final class ConfigurationEdits {
    private static final EventLog LOG = EventLog.of(ConfigurationEdits.class);
    private static final String COMMAND_ID_KEY = "command_id";
    private static final String BASE_VERSION_KEY = "base_version";
    private static final String WAIT_KEY = "wait_ms";
    private static final String ATTEMPT_SUFFIX = "@try";
    private static final int MAX_ATTEMPTS = 5;
    private static final long UNSPECIFIED_BASE = Long.MAX_VALUE;
    private static final long DEFAULT_WAIT_MILLIS = 5_000;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final ControlStateClient mState;

    ConfigurationEdits(ControlStateClient state) {
        mState = state;
    }

    /** Computes the new document from the newest one. */
    interface Edit
            extends Function<
                    ConfigurationDocument, Either<OperatorFailure, ConfigurationDocument>> {}

    /**
     * The parameters that all configuration changes share.
     *
     * @param commandId command id chosen by the operator
     * @param operator name of the operator
     * @param baseVersion version that the change was made from, or {@link #UNSPECIFIED_BASE}
     * @param waitMillis time to wait for the new version to be in force
     * @param callerWaits returns whether the caller still waits for the response
     */
    private record ChangeRequest(
            CommandId commandId,
            String operator,
            long baseVersion,
            long waitMillis,
            BooleanSupplier callerWaits) {
        CommandId attemptCommandId(int attempt) {
            return attempt == 1 ? commandId : new CommandId(commandId + ATTEMPT_SUFFIX + attempt);
        }

        /** Returns whether an attempt of this request made the change. */
        boolean isSourceOf(ConfigurationChange change) {
            String id = change.command().value();
            return id.equals(commandId.value()) || id.startsWith(commandId + ATTEMPT_SUFFIX);
        }
    }

    /**
     * Applies an edit. The response names the version that resulted and says whether it is in
     * force.
     */
    Either<OperatorFailure, ObjectNode> apply(OperatorCall call, Edit edit) {
        return parseRequest(call)
                .flatMap(
                        request ->
                                applyWithRetries(request, edit)
                                        .flatMap(version -> buildResponse(request, version)));
    }

    /**
     * Waits until a version is in force, up to the caller's limit, and reports which instances lag
     * behind.
     */
    Either<OperatorFailure, ObjectNode> awaitInForce(OperatorCall call) {
        return call.number("version", 0)
                .flatMap(
                        version ->
                                call.number(WAIT_KEY, 0)
                                        .flatMap(waitMillis -> awaitInForce(version, waitMillis))
                                        .map(response -> response.put("version", version)));
    }

    /** Appends the entries of a difference to a JSON array. */
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

    private static Either<OperatorFailure, ChangeRequest> parseRequest(OperatorCall call) {
        return call.identifier(COMMAND_ID_KEY, ConfigurationEdits::parseCommandId)
                .flatMap(command -> parseRequest(call, command));
    }

    private static Either<OperatorFailure, ChangeRequest> parseRequest(
            OperatorCall call, CommandId command) {
        return call.number(BASE_VERSION_KEY, UNSPECIFIED_BASE)
                .flatMap(
                        baseVersion ->
                                call.number(WAIT_KEY, DEFAULT_WAIT_MILLIS)
                                        .map(
                                                waitMillis ->
                                                        new ChangeRequest(
                                                                command,
                                                                call.operator(),
                                                                baseVersion,
                                                                waitMillis,
                                                                call.callerWaits())));
    }

    /**
     * Parses a command id. Validates the longest id derived from it, so that a later attempt cannot
     * fail because its id is too long.
     */
    private static CommandId parseCommandId(String text) {
        CommandId longest = new CommandId(text + ATTEMPT_SUFFIX + MAX_ATTEMPTS);
        return new CommandId(
                longest.value()
                        .substring(0, longest.value().length() - ATTEMPT_SUFFIX.length() - 1));
    }

    private Either<OperatorFailure, Long> applyWithRetries(ChangeRequest request, Edit edit) {
        Either<OperatorFailure, Long> result =
                Either.left(new OperatorFailure.Control(new ControlFailure.LeaderUnreachable()));
        int maxAttempts = request.baseVersion() == UNSPECIFIED_BASE ? MAX_ATTEMPTS : 1;
        for (int attempt = 1; attempt <= maxAttempts; attempt++) {
            CommandId command = request.attemptCommandId(attempt);
            result =
                    mState.configuration(0)
                            .flatMap(stored -> tryApply(request, command, stored, edit));
            if (result.isRight() || !(result.getLeft() instanceof OperatorFailure.Conflict)) {
                return result;
            }
        }
        return result;
    }

    private Either<OperatorFailure, Long> tryApply(
            ChangeRequest request,
            CommandId command,
            ControlStateClient.StoredConfiguration stored,
            Edit edit) {
        Optional<ConfigurationChange> recorded =
                stored.reply().history().stream().filter(request::isSourceOf).findFirst();
        if (recorded.isPresent()) {
            return Either.right(recorded.get().version());
        }
        // Read after the base: an operator that has moved on may have made a later change before.
        if (!request.callerWaits().getAsBoolean()) {
            return Either.left(new OperatorFailure.CallerLeft());
        }
        long baseVersion =
                request.baseVersion() == UNSPECIFIED_BASE
                        ? stored.reply().version()
                        : request.baseVersion();
        return edit.apply(stored.document())
                .map(
                        document ->
                                new StateCommand.ApplyConfiguration(
                                        0,
                                        command,
                                        request.operator(),
                                        baseVersion,
                                        ConfigurationWriter.toStored(document)))
                .flatMap(
                        proposal ->
                                mState.request(
                                        new ControlRequest.Propose(proposal),
                                        ControlReply.Applied.class))
                .flatMap(applied -> toVersion(request, baseVersion, applied.result()));
    }

    private Either<OperatorFailure, Long> toVersion(
            ChangeRequest request, long baseVersion, StateResult result) {
        return switch (result) {
            case StateResult.ConfigurationAccepted accepted -> {
                LOG.info(
                        "configuration_changed",
                        "operator",
                        request.operator(),
                        "command",
                        request.commandId(),
                        "base",
                        baseVersion,
                        "version",
                        accepted.version());
                yield Either.right(accepted.version());
            }
            case StateResult.ConfigurationConflict conflict ->
                    Either.left(
                            new OperatorFailure.Conflict(
                                    baseVersion,
                                    conflict.currentVersion(),
                                    conflict.changedBy(),
                                    conflict.changedAtMillis(),
                                    differenceBetween(baseVersion, conflict.currentVersion())));
            case StateResult.DocumentTooLarge tooLarge ->
                    Either.left(new OperatorFailure.TooLarge(tooLarge.limitBytes()));
            default ->
                    Either.left(
                            new OperatorFailure.Control(
                                    new ControlFailure.Malformed("unexpected command result")));
        };
    }

    private Optional<ConfigurationDifference> differenceBetween(
            long baseVersion, long currentVersion) {
        if (baseVersion == 0) {
            return Optional.empty();
        }
        return mState.configuration(baseVersion)
                .flatMap(
                        before ->
                                mState.configuration(currentVersion)
                                        .map(
                                                after ->
                                                        ConfigurationDifference.between(
                                                                before.document(),
                                                                after.document())))
                .toJavaOptional();
    }

    /**
     * Builds the response to a change that is committed. A failure to read whether it is in force
     * is reported within the response, since the change itself has succeeded.
     */
    private Either<OperatorFailure, ObjectNode> buildResponse(ChangeRequest request, long version) {
        ObjectNode response =
                awaitInForce(version, request.waitMillis()).getOrElseGet(this::inForceUnknown);
        return Either.right(
                response.put(COMMAND_ID_KEY, request.commandId().value()).put("version", version));
    }

    private ObjectNode inForceUnknown(OperatorFailure failure) {
        return JsonBodies.object().put("in_force", false).put("force_unknown", failure.code());
    }

    private Either<OperatorFailure, ObjectNode> awaitInForce(long version, long waitMillis) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(waitMillis, MAX_WAIT_MILLIS));
        return mState.awaitInForce(version, timeoutNanos)
                .map(
                        rollout -> {
                            ObjectNode response = JsonBodies.object();
                            response.put("in_force", rollout.inForce());
                            ArrayNode behind = response.putArray("behind");
                            rollout.pendingInstances().forEach(behind::add);
                            return response.put("in_force_within_ms", rollout.remainingMillis());
                        });
    }
}
