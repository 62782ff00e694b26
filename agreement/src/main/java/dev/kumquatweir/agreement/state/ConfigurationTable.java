package dev.kumquatweir.agreement.state;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.CommandId;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Versions of the configuration document, the history of changes and the results of recent
 * commands, each bounded. Deterministic. Owned and called by the {@link StateMachine}; not
 * thread-safe.
 */
final class ConfigurationTable {
    private final StateLimits mLimits;
    private final Deque<ConfigurationChange> mHistory = new ArrayDeque<>();
    private final TreeMap<Long, Bytes> mDocuments = new TreeMap<>();
    private final Map<CommandId, StateResult.ConfigurationResult> mResults = new LinkedHashMap<>();
    private long mDocumentBytes;
    private long mVersion;

    ConfigurationTable(StateLimits limits) {
        mLimits = limits;
    }

    long version() {
        return mVersion;
    }

    Bytes document() {
        return mDocuments.getOrDefault(mVersion, Bytes.EMPTY);
    }

    Optional<Bytes> document(long version) {
        return Optional.ofNullable(mDocuments.get(version));
    }

    Map<Long, Bytes> documents() {
        return mDocuments;
    }

    Collection<ConfigurationChange> history() {
        return mHistory;
    }

    Map<CommandId, StateResult.ConfigurationResult> results() {
        return mResults;
    }

    void restore(
            long version,
            Map<Long, Bytes> documents,
            Collection<ConfigurationChange> history,
            Map<CommandId, StateResult.ConfigurationResult> results) {
        mVersion = version;
        documents.forEach(this::storeDocument);
        mHistory.addAll(history);
        mResults.putAll(results);
    }

    StateResult apply(StateCommand.ApplyConfiguration command, long nowMillis) {
        StateResult.ConfigurationResult earlierResult = mResults.get(command.command());
        if (earlierResult != null) {
            return earlierResult;
        }
        StateResult.ConfigurationResult result = decide(command, nowMillis);
        mResults.put(command.command(), result);
        if (mResults.size() > mLimits.commandResults()) {
            mResults.remove(mResults.keySet().iterator().next());
        }
        return result;
    }

    private StateResult.ConfigurationResult decide(
            StateCommand.ApplyConfiguration command, long nowMillis) {
        if (command.baseVersion() != mVersion) {
            ConfigurationChange last = mHistory.peekLast();
            return last == null
                    ? new StateResult.ConfigurationConflict(mVersion, "", 0)
                    : new StateResult.ConfigurationConflict(
                            mVersion, last.changedBy(), last.changedAtMillis());
        }
        if (command.document().size() > mLimits.documentBytes()) {
            return new StateResult.DocumentTooLarge(mLimits.documentBytes());
        }
        mVersion++;
        storeDocument(mVersion, command.document());
        mHistory.addLast(
                new ConfigurationChange(
                        mVersion,
                        command.baseVersion(),
                        command.changedBy(),
                        nowMillis,
                        command.command()));
        if (mHistory.size() > mLimits.historyChanges()) {
            mHistory.removeFirst();
        }
        return new StateResult.ConfigurationAccepted(mVersion);
    }

    private void storeDocument(long version, Bytes document) {
        mDocuments.put(version, document);
        mDocumentBytes += document.size();
        while (mDocuments.size() > 1
                && (mDocuments.size() > mLimits.historyDocuments() + 1
                        || mDocumentBytes > mLimits.historyBytes())) {
            mDocumentBytes -= mDocuments.pollFirstEntry().getValue().size();
        }
    }
}
