package dev.kumquatweir.policy.quarantine;

import java.util.concurrent.TimeUnit;

/** Builds a {@link Quarantine}. Not thread-safe. */
public final class QuarantineBuilder {
    String mOwner = "";
    int mCrashLimit = 2;
    int mMaximumMarks = 10_000;
    long mLifetimeNanos = TimeUnit.MINUTES.toNanos(15);
    double mExclusiveShare = 0.25;
    long mClearTokens = 16;
    int mDomainLossUpstreams = 3;
    long mDomainLossNanos = TimeUnit.SECONDS.toNanos(5);

    QuarantineBuilder() {}

    /** Sets the unique name of this instance. */
    public QuarantineBuilder owner(String name) {
        mOwner = name;
        return this;
    }

    /** Sets the maximum number of marks and their lifetime. */
    public QuarantineBuilder marks(int maximum, long lifetimeNanos) {
        mMaximumMarks = maximum;
        mLifetimeNanos = lifetimeNanos;
        return this;
    }

    /** Sets the maximum share of upstreams that run suspects, 0 to 1. */
    public QuarantineBuilder exclusiveShare(double value) {
        mExclusiveShare = value;
        return this;
    }

    /** Sets how many tokens beyond the token count at the crash clear a suspect. */
    public QuarantineBuilder clearTokens(long value) {
        mClearTokens = value;
        return this;
    }

    /** Sets how many upstreams of a domain terminate within the window of a domain loss. */
    public QuarantineBuilder domainLoss(int upstreams, long windowNanos) {
        mDomainLossUpstreams = upstreams;
        mDomainLossNanos = windowNanos;
        return this;
    }

    /** Builds a quarantine without marks. */
    public Quarantine build() {
        return new Quarantine(this);
    }
}
