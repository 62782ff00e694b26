package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateCommand;

/** Sets the leader's time in commands that other instances made. Holds no state. */
final class StampedCommand {
    private StampedCommand() {}

    static StateCommand at(StateCommand command, long nowMillis) {
        return switch (command) {
            case StateCommand.ApplyConfiguration apply ->
                    new StateCommand.ApplyConfiguration(
                            nowMillis,
                            apply.command(),
                            apply.changedBy(),
                            apply.baseVersion(),
                            apply.document());
            case StateCommand.StartInstance start ->
                    new StateCommand.StartInstance(nowMillis, start.instance(), start.nonce());
            case StateCommand.Claim claim ->
                    new StateCommand.Claim(
                            nowMillis,
                            claim.claimant(),
                            claim.key(),
                            claim.requestHash(),
                            claim.timeLimitMillis());
            case StateCommand.RecordOutcome record ->
                    new StateCommand.RecordOutcome(
                            nowMillis, record.claimant(), record.key(), record.outcome());
            case StateCommand.Expire _ -> new StateCommand.Expire(nowMillis);
            case StateCommand.TakeEpoch take ->
                    new StateCommand.TakeEpoch(nowMillis, take.purpose(), take.holder());
        };
    }
}
