package dev.kumquatweir.program.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What a watcher and one control instance have told each other. Not thread-safe.
 *
 * <p>Verdicts on parts of prompts are repeated until a response shows that the control instance has
 * received them, and again after it may have been restarted.
 */
final class WatchProgress {
    private final Map<String, QuarantineVerdict> mSharedVerdicts = new HashMap<>();
    private long mIncarnation;
    private long mDirectoryRevision;
    private long mQuarantineRevision;

    /**
     * Returns the next request.
     *
     * @param knownVerdicts verdicts that the watcher knows
     */
    WatchRequest nextRequest(
            long routingChangeCount,
            List<QuarantineVerdict> knownVerdicts,
            boolean fromEntry,
            boolean cutOff,
            long maximumWaitMillis) {
        Set<String> knownParts =
                knownVerdicts.stream().map(QuarantineVerdict::part).collect(Collectors.toSet());
        mSharedVerdicts.keySet().retainAll(knownParts);
        return new WatchRequest(
                routingChangeCount,
                mIncarnation,
                mDirectoryRevision,
                mQuarantineRevision,
                knownVerdicts.stream().filter(verdict -> !isShared(verdict)).toList(),
                fromEntry,
                cutOff,
                maximumWaitMillis);
    }

    /** Records the response to a request. */
    void recordResponse(WatchRequest request, WatchResponse response) {
        if (response.directoryIncarnation() != mIncarnation) {
            mSharedVerdicts.clear();
        }
        mIncarnation = response.directoryIncarnation();
        mDirectoryRevision = response.directoryRevision();
        mQuarantineRevision = response.quarantineRevision();
        request.verdicts().forEach(verdict -> mSharedVerdicts.put(verdict.part(), verdict));
        response.verdicts().forEach(verdict -> mSharedVerdicts.put(verdict.part(), verdict));
    }

    /** Records that a request has failed, after which the control instance may start anew. */
    void recordFailure() {
        mSharedVerdicts.clear();
    }

    private boolean isShared(QuarantineVerdict verdict) {
        QuarantineVerdict shared = mSharedVerdicts.get(verdict.part());
        return shared != null && shared.isSameAs(verdict);
    }
}
