package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;

/**
 * A command of the replicated state machine. The leader sets {@link #nowMillis} to its wall-clock
 * time when it appends the command. The state machine's clock never goes back, also if the wall
 * clock of a new leader is behind.
 */
public sealed interface StateCommand {
    /** Returns the leader's wall-clock time in milliseconds since 1970. */
    long nowMillis();

    /** Returns a copy with this wall-clock time, set by the leader that appends the command. */
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
            case SetDomain(var _, var domain, var out, var base) ->
                    new SetDomain(millis, domain, out, base);
            case AcquireEpoch(var _, var purpose, var holder) ->
                    new AcquireEpoch(millis, purpose, holder);
        };
    }

    /**
     * Replaces the configuration if the base version is still current (compare-and-set). A repeated
     * command id returns the first result.
     *
     * @param command id chosen by the operator's client
     * @param changedBy operator who makes the change
     * @param baseVersion version that the change is based on
     * @param document the new document
     */
    record ApplyConfiguration(
            long nowMillis, CommandId command, String changedBy, long baseVersion, Bytes document)
            implements StateCommand {}

    /**
     * Starts a new incarnation of an instance; unfinished claims of earlier incarnations become
     * unknown. Idempotent: the same nonce returns the same incarnation.
     *
     * @param instance the instance
     * @param nonce random number generated once for each start of the process
     */
    record StartInstance(long nowMillis, InstanceId instance, long nonce) implements StateCommand {}

    /**
     * Claims the exclusive right to execute a non-repeatable request.
     *
     * @param claimant request and process that claim
     * @param key key that is claimed
     * @param requestHash hash of the request's content
     * @param timeLimitMillis time from the claim after which a missing outcome counts as unknown
     */
    record Claim(
            long nowMillis,
            Claimant claimant,
            ClaimKey key,
            String requestHash,
            long timeLimitMillis)
            implements StateCommand {}

    /**
     * Records the outcome of a claim. {@link ClaimOutcome.NotExecuted} abandons the claim, even if
     * the claim has not reached the log yet: a later claim of the same request is then refused.
     *
     * @param claimant claimant to which the claim was granted, or that will never send the request
     * @param key key that was claimed
     * @param outcome outcome of the request
     */
    record RecordOutcome(long nowMillis, Claimant claimant, ClaimKey key, ClaimOutcome outcome)
            implements StateCommand {}

    /** Removes expired claims, a bounded number per command. Proposed by the leader. */
    record Expire(long nowMillis) implements StateCommand {}

    /**
     * Acquires a new fencing epoch, larger than all earlier ones.
     *
     * @param purpose resource or role that the epoch protects
     * @param holder instance that acquires it
     */
    record AcquireEpoch(long nowMillis, String purpose, InstanceId holder)
            implements StateCommand {}

    /**
     * Stores a routing document if its version is higher than the stored one. A lower or equal
     * version changes nothing, so the command is idempotent.
     *
     * @param version version of the document, from 1, set by its author
     * @param document the document, opaque to the state machine
     */
    record PutRouting(long nowMillis, long version, Bytes document) implements StateCommand {}

    /**
     * Takes a failure domain out of service or puts it back into service, if the routing state has
     * not changed since it was read (compare-and-set).
     *
     * @param domain the failure domain
     * @param outOfService true if upstreams of the domain get no new requests
     * @param baseChangeCount {@link RoutingImage#changeCount} that the command is based on, or
     *     {@link #ANY_BASE}
     */
    record SetDomain(
            long nowMillis, FailureDomain domain, boolean outOfService, long baseChangeCount)
            implements StateCommand {
        /** Applies the command to any state, as commands of earlier releases in the log do. */
        public static final long ANY_BASE = -1;
    }
}
