package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;

/**
 * A command of the replicated state machine. The leader sets {@link #nowMillis} to its wall-clock
 * time when it appends the command; the state machine's own time never goes back.
 */
public sealed interface StateCommand {
    /** Returns the leader's wall-clock time. */
    long nowMillis();

    /** Returns the same command with the time of the leader that appends it. */
    default StateCommand withTime(long millis) {
        return switch (this) {
            case ApplyConfiguration(var _, var command, var changedBy, var base, var document) ->
                    new ApplyConfiguration(millis, command, changedBy, base, document);
            case StartInstance(var _, var instance, var nonce) ->
                    new StartInstance(millis, instance, nonce);
            case Claim(var _, var claimant, var key, var requestHash, var timeLimit) ->
                    new Claim(millis, claimant, key, requestHash, timeLimit);
            case RecordOutcome(var _, var claimant, var key, var outcome) ->
                    new RecordOutcome(millis, claimant, key, outcome);
            case Expire _ -> new Expire(millis);
            case PutRouting(var _, var version, var document) ->
                    new PutRouting(millis, version, document);
            case SetDomain(var _, var domain, var out) -> new SetDomain(millis, domain, out);
            case AcquireEpoch(var _, var purpose, var holder) ->
                    new AcquireEpoch(millis, purpose, holder);
        };
    }

    /**
     * Replaces the configuration if it still has the base version. A command id already seen
     * returns its first result.
     *
     * @param command id chosen by the operator's client
     * @param changedBy who asks
     * @param baseVersion version that the change was made from
     * @param document the new document
     */
    record ApplyConfiguration(
            long nowMillis, CommandId command, String changedBy, long baseVersion, Bytes document)
            implements StateCommand {}

    /**
     * Begins a new incarnation of an instance; open claims of earlier ones become unknown. The same
     * nonce returns the same incarnation, so that the command may be sent again.
     *
     * @param instance the instance
     * @param nonce random number drawn once for each start of the process
     */
    record StartInstance(long nowMillis, InstanceId instance, long nonce) implements StateCommand {}

    /**
     * Claims the sole right to execute a request.
     *
     * @param claimant who asks
     * @param key what is claimed
     * @param requestHash hash of the request's content
     * @param timeLimitMillis time after which a missing outcome counts as unknown
     */
    record Claim(
            long nowMillis,
            Claimant claimant,
            ClaimKey key,
            String requestHash,
            long timeLimitMillis)
            implements StateCommand {}

    /**
     * Records how a claim ended. {@link ClaimOutcome.NotExecuted} abandons it, also when the claim
     * itself is not in the log (yet): a claim of the same request is refused from then on.
     *
     * @param claimant who was granted the claim, or never will send the request
     * @param key what was claimed
     * @param outcome how it ended
     */
    record RecordOutcome(long nowMillis, Claimant claimant, ClaimKey key, ClaimOutcome outcome)
            implements StateCommand {}

    /** Removes expired claims, a bounded number at a time. Proposed by the leader. */
    record Expire(long nowMillis) implements StateCommand {}

    /**
     * Takes a new fencing epoch, larger than all before it.
     *
     * @param purpose what the epoch protects
     * @param holder who takes it
     */
    record AcquireEpoch(long nowMillis, String purpose, InstanceId holder)
            implements StateCommand {}

    /**
     * Stores a routing document under the number its author gave it, if that is higher than the one
     * held. A lower or equal one changes nothing, so that the command may be sent again.
     *
     * @param version number of the document, from 1
     * @param document the document, opaque here
     */
    record PutRouting(long nowMillis, long version, Bytes document) implements StateCommand {}

    /**
     * Takes a failure domain out of service or returns it. The same command again changes nothing.
     *
     * @param domain the failure domain
     * @param outOfService whether upstreams of the domain get no new work
     */
    record SetDomain(long nowMillis, FailureDomain domain, boolean outOfService)
            implements StateCommand {}
}
