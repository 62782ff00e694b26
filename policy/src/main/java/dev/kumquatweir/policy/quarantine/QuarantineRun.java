package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.identity.FailureDomain;
import java.util.List;

/**
 * An attempt that runs on an upstream or broke off. Not thread-safe: part of {@link Quarantine}.
 */
final class QuarantineRun {
    final String mContentHash;
    final UpstreamIncarnation mIncarnation;
    final FailureDomain mDomain;
    List<String> mSharedParts = List.of();
    boolean mAlone;
    long mStartedNanos;
    long mTokens;
    long mFirstTokens = Long.MAX_VALUE;
    long mBrokenNanos;

    QuarantineRun(
            String contentHash,
            UpstreamIncarnation incarnation,
            FailureDomain domain,
            boolean alone) {
        mContentHash = contentHash;
        mIncarnation = incarnation;
        mDomain = domain;
        mAlone = alone;
    }

    /** Returns whether at most a few tokens of this attempt have arrived. */
    boolean beginsAnswer(long tokens) {
        return mTokens == 0 || mTokens - mFirstTokens < tokens;
    }
}
