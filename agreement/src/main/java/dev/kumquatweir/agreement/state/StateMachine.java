package dev.kumquatweir.agreement.state;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.codec.StateCodec;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The replicated state machine: configuration, claims, incarnations, fencing epochs and routing.
 * Deterministic: the same log entries give the same state and results on each replica. Not
 * thread-safe.
 */
public final class StateMachine {
    private final StateLimits mLimits;
    private final ConfigurationTable mConfiguration;
    private final InstanceTable mInstances;
    private final ClaimTable mClaims;
    private final Map<String, FencingEpoch> mEpochs = new LinkedHashMap<>();
    private RoutingImage mRouting = RoutingImage.EMPTY;
    private long mClockMillis;

    /**
     * Creates a state machine in the initial state.
     *
     * @param limits size limits, the same on all replicas
     */
    public StateMachine(StateLimits limits) {
        mLimits = limits;
        mConfiguration = new ConfigurationTable(limits);
        mInstances = new InstanceTable(limits.instances());
        mClaims = new ClaimTable(limits, mInstances);
    }

    // Life-cycle

    /**
     * Restores a state machine from a snapshot; empty data means the initial state.
     *
     * @param data result of {@link #snapshot}
     */
    public static Either<MalformedContent, StateMachine> restore(Bytes data) {
        return data.size() == 0
                ? Either.right(new StateMachine(StateLimits.STANDARD))
                : StateCodec.decode(data).map(StateMachine::ofImage);
    }

    /** Returns the encoded state; equal states give equal bytes. */
    public Bytes snapshot() {
        return StateCodec.encode(image());
    }

    /**
     * Returns a copy of the state, which {@link StateCodec} may encode on another thread while this
     * state machine applies further entries. The copy shares the immutable records, so it is cheap
     * compared to encoding.
     */
    public StateImage image() {
        return new StateImage(
                mLimits,
                mClockMillis,
                mConfiguration.version(),
                new TreeMap<>(mConfiguration.documents()),
                history(),
                new LinkedHashMap<>(mConfiguration.results()),
                List.copyOf(mInstances.starts()),
                List.copyOf(mEpochs.values()),
                mClaims.expiryCursor(),
                new TreeMap<>(mClaims.claims()),
                mRouting);
    }

    private static StateMachine ofImage(StateImage image) {
        var machine = new StateMachine(image.limits());
        machine.mClockMillis = image.clockMillis();
        machine.mRouting = image.routing();
        machine.mConfiguration.restore(
                image.version(), image.documents(), image.history(), image.results());
        machine.mInstances.restore(image.instances());
        machine.mClaims.restore(image.claims(), image.expiryCursor());
        image.epochs().forEach(epoch -> machine.mEpochs.put(epoch.purpose(), epoch));
        return machine;
    }

    // Public API

    /**
     * Applies the next committed entry. Entries must be applied in log order.
     *
     * @param entry the entry
     * @return result of the command; {@link StateResult.NoCommand} for other kinds of entries
     */
    public StateResult apply(LogEntry entry) {
        if (entry.kind() != EntryKind.COMMAND) {
            return new StateResult.NoCommand();
        }
        return CommandCodec.decode(entry.payload())
                .fold(
                        fault -> new StateResult.Malformed(fault.message()),
                        command -> apply(command, entry.index()));
    }

    /** Returns the current configuration version, 0 before the first. */
    public long configurationVersion() {
        return mConfiguration.version();
    }

    /** Returns the current configuration document, empty before the first. */
    public Bytes configurationDocument() {
        return mConfiguration.document();
    }

    /** Returns the document of a version, empty unless it is current or still retained. */
    public Optional<Bytes> configurationDocument(long version) {
        return mConfiguration.document(version);
    }

    /** Returns the retained configuration changes, oldest first. */
    public List<ConfigurationChange> history() {
        return List.copyOf(mConfiguration.history());
    }

    /** Returns the current routing document and the failure domains out of service. */
    public RoutingImage routing() {
        return mRouting;
    }

    /** Returns the claim on a key, if there is one. */
    public Optional<ClaimRecord> claim(ClaimKey key) {
        return Optional.ofNullable(mClaims.claims().get(key));
    }

    /** Returns the number of claims. */
    public int claimCount() {
        return mClaims.claims().size();
    }

    /** Returns the newest epoch for a purpose, if one was acquired. */
    public Optional<FencingEpoch> epoch(String purpose) {
        return Optional.ofNullable(mEpochs.get(purpose));
    }

    // Helpers

    private StateResult apply(StateCommand command, long index) {
        mClockMillis = Math.max(mClockMillis, command.nowMillis());
        return switch (command) {
            case StateCommand.ApplyConfiguration change ->
                    mConfiguration.apply(change, mClockMillis);
            case StateCommand.StartInstance start -> mInstances.start(start, index);
            case StateCommand.Claim claim -> mClaims.claim(claim, mClockMillis);
            case StateCommand.RecordOutcome outcome -> mClaims.recordOutcome(outcome, mClockMillis);
            case StateCommand.Expire _ -> mClaims.expire(mClockMillis);
            case StateCommand.AcquireEpoch take -> acquireEpoch(take, index);
            case StateCommand.PutRouting put -> {
                mRouting = mRouting.withDocument(put.version(), put.document());
                yield new StateResult.RoutingStored(mRouting.version());
            }
            case StateCommand.SetDomain set -> setDomain(set);
        };
    }

    private StateResult setDomain(StateCommand.SetDomain command) {
        RoutingImage changed = mRouting.withDomain(command.domain(), command.outOfService());
        boolean overtaken =
                command.baseChangeCount() != StateCommand.SetDomain.ANY_BASE
                        && command.baseChangeCount() != mRouting.changeCount();
        if (overtaken && changed.changeCount() != mRouting.changeCount()) {
            return new StateResult.DomainOvertaken(mRouting.changeCount());
        }
        mRouting = changed;
        return new StateResult.DomainUpdated();
    }

    private StateResult acquireEpoch(StateCommand.AcquireEpoch command, long index) {
        mEpochs.remove(command.purpose());
        mEpochs.put(
                command.purpose(), new FencingEpoch(command.purpose(), index, command.holder()));
        if (mEpochs.size() > mLimits.epochPurposes()) {
            mEpochs.remove(mEpochs.keySet().iterator().next());
        }
        return new StateResult.EpochAcquired(index);
    }
}
