package dev.kumquatweir.program.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.state.StateLimits;
import dev.kumquatweir.agreement.state.StateMachine;
import dev.kumquatweir.core.control.ClaimPort;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.program.control.ControlPlane;
import dev.kumquatweir.program.control.ControlReply;
import dev.kumquatweir.program.control.ControlRequest;
import dev.kumquatweir.program.control.ReplicaStatus;
import dev.kumquatweir.program.permit.PermitPort;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

/** Changes of the configuration by operators that may have moved on to another instance. */
final class ConfigurationEditsTest {
    private static final FailureDomain DOMAIN = new FailureDomain("klang-a");

    private final Group mGroup = new Group();
    private final ControlStateClient mState = new ControlStateClient(mGroup, Clocks.system());
    private final ConfigurationEdits mEdits = new ConfigurationEdits(mState);

    /** Guards against a change that waited in a suspended instance and undoes a later one. */
    @Test
    void changeOfCallerThatLeftHasNoEffect() {
        assertThat(setOutOfService("first", true, true).isRight(), is(true));
        Either<OperatorFailure, ?> late = setOutOfService("waited", false, false);
        assertThat(late.getLeft(), instanceOf(OperatorFailure.CallerLeft.class));
        assertThat(
                mState.configuration(0).get().document().domainsOutOfService(), is(Set.of(DOMAIN)));
    }

    /** Guards against a repeated change that is not confirmed although it was made. */
    @Test
    void repeatedChangeIsConfirmedWhoeverWaits() {
        assertThat(setOutOfService("same", true, true).isRight(), is(true));
        assertThat(setOutOfService("same", true, false).isRight(), is(true));
    }

    private Either<OperatorFailure, ?> setOutOfService(
            String command, boolean out, boolean callerWaits) {
        OperatorCall call =
                new OperatorCall(
                        "operator",
                        "POST domains",
                        Map.of(),
                        JsonBodies.object().put("command_id", command).put("wait_ms", 0),
                        () -> callerWaits);
        return mEdits.apply(
                call,
                current ->
                        Either.right(
                                current.withDomainsOutOfService(out ? Set.of(DOMAIN) : Set.of())));
    }

    /** A group of one that applies each command at once. */
    private static final class Group implements ControlPlane {
        private final StateMachine mMachine = new StateMachine(StateLimits.STANDARD);
        private long mIndex;

        @Override
        public CompletionStage<ControlReply> submit(ControlRequest request, long timeoutNanos) {
            return CompletableFuture.completedFuture(
                    switch (request) {
                        case ControlRequest.Propose propose -> {
                            mIndex++;
                            yield new ControlReply.Applied(
                                    mMachine.apply(
                                            new LogEntry(
                                                    mIndex,
                                                    1,
                                                    CommandCodec.encode(propose.command()),
                                                    EntryKind.COMMAND)));
                        }
                        case ControlRequest.ReadConfiguration _ ->
                                new ControlReply.Configuration(
                                        mMachine.configurationVersion(),
                                        mMachine.configurationDocument(),
                                        mMachine.history());
                        case ControlRequest.ReadRollout _ ->
                                new ControlReply.Rollout(true, List.of(), 0);
                        default -> throw new UnsupportedOperationException();
                    });
        }

        @Override
        public void start() {}

        @Override
        public ConfigurationPort configuration() {
            throw new UnsupportedOperationException();
        }

        @Override
        public ClaimPort claims() {
            throw new UnsupportedOperationException();
        }

        @Override
        public PermitPort permits() {
            throw new UnsupportedOperationException();
        }

        @Override
        public ReplicaStatus replicaStatus() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void handOver() {}

        @Override
        public void stop() {}
    }
}
