package dev.kumquatweir.gateway.oversize;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Gives back the exports and imports of one run. An engine that does not answer is asked again for
 * a time; after that it is left to reconciliation. Runs on the oversize duty.
 */
final class KvCleanup {
    private static final EventLog LOG = EventLog.of(KvCleanup.class);
    private static final int TRIES = 10;
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final OversizeCaller mOwner;
    private final List<Import> mImports = new ArrayList<>();

    private record Import(Announcement engine, String handle) {}

    KvCleanup(OversizeCaller owner) {
        mOwner = owner;
    }

    /** Takes note of an import that may have been made. */
    void imported(Announcement engine, String handle) {
        mImports.add(new Import(engine, handle));
    }

    /** Releases all imports. */
    void releaseImports() {
        mImports.forEach(imported -> release(imported.engine(), imported.handle()));
        mImports.clear();
    }

    /** Releases an export or an import. */
    void release(Announcement engine, String handle) {
        call(engine, handle, TRIES, () -> mOwner.kvCalls().release(engine, handle), done -> {});
    }

    /**
     * Releases an export that may have been made although its answer was lost: a repeated export
     * gives the same handle, and is refused if there is none and the attempt was cancelled.
     */
    void findExport(Announcement engine, AttemptId attempt) {
        call(
                engine,
                attempt.value(),
                TRIES,
                () -> mOwner.kvCalls().export(engine, attempt),
                done -> release(engine, done.handle()));
    }

    private void call(
            Announcement engine,
            String subject,
            int tries,
            Supplier<CompletionStage<KvAnswer>> call,
            Consumer<KvAnswer.Done> onDone) {
        mOwner.opened();
        call.get()
                .thenAccept(
                        answer ->
                                mOwner.post(
                                        () -> {
                                            answered(engine, subject, tries, call, onDone, answer);
                                            mOwner.closed();
                                        }));
    }

    private void answered(
            Announcement engine,
            String subject,
            int tries,
            Supplier<CompletionStage<KvAnswer>> call,
            Consumer<KvAnswer.Done> onDone,
            KvAnswer answer) {
        switch (answer) {
            case KvAnswer.Done done -> onDone.accept(done);
            case KvAnswer.Refused refused -> {
                // It is not there.
            }
            case KvAnswer.Unknown unknown when tries > 1 -> {
                mOwner.opened();
                mOwner.later(
                        PAUSE_NANOS,
                        () -> {
                            call(engine, subject, tries - 1, call, onDone);
                            mOwner.closed();
                        });
            }
            case KvAnswer.Unknown unknown ->
                    LOG.warn(
                            "kv_release_given_up",
                            "upstream",
                            engine.id(),
                            "handle",
                            subject,
                            "problem",
                            unknown.problem());
        }
    }
}
