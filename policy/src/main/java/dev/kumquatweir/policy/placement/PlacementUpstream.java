package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.policy.locality.DomainCapacity;
import dev.kumquatweir.policy.locality.PromptSizes;
import dev.kumquatweir.policy.locality.WorkTime;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * State that the scheduler keeps of one upstream: its last heartbeat, its health and the work
 * placed on it. Owned by {@link PlacementUpstreams}; not thread-safe.
 */
final class PlacementUpstream {
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Slots that a standalone instance may always use. With a single slot it could not use an
     * upstream that it has just warmed up.
     */
    private static final int MINIMUM_SLOTS = 2;

    /** Pending prefill with which it takes no short prompt in time; a usual target is 300 ms. */
    private static final double BLOCKED_MILLIS = 300;

    private final UpstreamHealth mHealth = new UpstreamHealth();
    private final PromptSizes mPromptSizes;
    private final WorkTime mWorkTime = new WorkTime();
    private final StartRateLimiter mStartLimiter = new StartRateLimiter();
    private final Map<PlacementKey, PlacedPart> mParts = new LinkedHashMap<>();
    private UpstreamStatus mNotice;
    private long mLastHeardNanos;
    private long mColdUntilNanos;
    private long mPrefillUntilNanos;
    private boolean mMisdirected;
    private int mInstances = 1;
    private double mPreference;
    private @Nullable DomainCapacity mDomainCapacity;
    private LimitShare mLimitShare = new LimitShare.Whole();
    private @Nullable NamedLimit mLimit;
    private @Nullable UpstreamMemory mMemory;
    private OptionalLong mRestartedNanos = OptionalLong.empty();
    private int mPrimaryCount;
    private int mDecodingCount;
    private long mContextTokens;
    private long mMemoryTokens;

    PlacementUpstream(UpstreamStatus notice, long heardNanos) {
        this(notice, new PromptSizes(), heardNanos);
    }

    /**
     * Creates an upstream.
     *
     * @param promptSizes records the prompts that are placed on it
     */
    PlacementUpstream(UpstreamStatus notice, PromptSizes promptSizes, long heardNanos) {
        mNotice = notice;
        mPromptSizes = promptSizes;
        mPrefillUntilNanos = heardNanos;
        accept(notice, heardNanos);
    }

    UpstreamStatus notice() {
        return mNotice;
    }

    UpstreamHealth health() {
        return mHealth;
    }

    StartRateLimiter startLimiter() {
        return mStartLimiter;
    }

    /** Returns the forecast of its memory, null if none is made. */
    @Nullable UpstreamMemory memory() {
        return mMemory;
    }

    /** Makes a forecast of its memory. Called before anything is placed. */
    void forecastMemory(MemoryModel model) {
        mMemory = new UpstreamMemory(model);
    }

    /** Returns the limit that it names, empty if it names none. */
    Optional<NamedLimit> limit() {
        return Optional.ofNullable(mLimit);
    }

    /**
     * Applies a limit that a response names.
     *
     * @param sentNanos when the request of the response was sent
     * @return whether the limit has changed
     */
    boolean recordLimit(double perSecond, long sentNanos, long nowNanos) {
        if (mRestartedNanos.isPresent() && sentNanos - mRestartedNanos.getAsLong() < 0) {
            // It has started again since; the limit was that of its former life.
            return false;
        }
        NamedLimit limit = mLimit;
        if (limit == null) {
            mLimit = new NamedLimit(perSecond, nowNanos);
            return true;
        }
        double before = limit.perSecond();
        limit.name(perSecond, sentNanos, nowNanos);
        return limit.perSecond() != before;
    }

    /**
     * Lifts the limit if no response has named it since a request was granted that is now answered:
     * its response names none.
     *
     * @return whether there was a limit to lift
     */
    boolean liftLimit(long grantedNanos) {
        boolean lifted = mLimit != null && mLimit.isNews(grantedNanos);
        mLimit = lifted ? null : mLimit;
        return lifted;
    }

    /** Returns whether the limit that it names allows another request. */
    boolean withinLimit(long nowNanos) {
        return mLimit == null || mLimit.allows(mLimitShare, nowNanos);
    }

    /** Returns the requests per second that this scheduler may start under its limit. */
    OptionalDouble usablePerSecond() {
        return mLimit == null
                ? OptionalDouble.empty()
                : OptionalDouble.of(mLimitShare.perSecond(mLimit.perSecond()));
    }

    /** Counts a request under its limit, also one of which it only processes a part. */
    void recordLimitedStart(long nowNanos) {
        if (mLimit != null) {
            mLimit.started(mLimitShare, nowNanos);
        }
    }

    /** Returns its slots; one whose limit allows no request now has none that are free. */
    int usableSlots(long nowNanos) {
        return withinLimit(nowNanos) ? mNotice.slots() : Math.min(mNotice.slots(), mPrimaryCount);
    }

    Collection<PlacedPart> parts() {
        return mParts.values();
    }

    /**
     * Sets that several instances place work on this upstream without coordination.
     *
     * @param instances number of such instances
     * @param preference preference of this instance for this upstream, 0 to 1
     */
    void configureStandalone(int instances, double preference) {
        mInstances = instances;
        mPreference = preference;
        mLimitShare = new LimitShare.Part(instances, preference);
    }

    /**
     * Returns whether the caller of a request is connected to an instance in the same failure
     * domain.
     */
    boolean sharesDomain(PlacementRequest request) {
        return request.domain().isPresent() && request.domain().get().equals(mNotice.domain());
    }

    /** Sets the upstreams of its service and domain, which are balanced with those of others. */
    void setDomainCapacity(DomainCapacity capacity) {
        mDomainCapacity = capacity;
    }

    /** Returns the upstreams of its service and domain, null if domains are not balanced. */
    @Nullable DomainCapacity domainCapacity() {
        return mDomainCapacity;
    }

    /** Returns the time from the caller's instance and back, 0 if domains are not balanced. */
    double crossingMillis(PlacementRequest request) {
        return mDomainCapacity == null ? 0 : mDomainCapacity.roundTripMillis(request.domain());
    }

    /** Returns the preference of this instance for the upstream in standalone mode, 0 to 1. */
    double preference() {
        return mPreference;
    }

    /**
     * Returns the maximum number of requests that may run here at once. A standalone instance uses
     * twice its share, since other instances leave parts of their shares unused.
     */
    int availableSlots(int slots, long nowNanos) {
        int healthySlots = mHealth.availableSlots(slots, nowNanos);
        return mInstances == 1
                ? healthySlots
                : Math.min(healthySlots, Math.max(MINIMUM_SLOTS, 2 * slots / mInstances));
    }

    /**
     * Applies a heartbeat. One that is not newer than the last only refreshes the time of contact.
     */
    void heard(UpstreamStatus notice, long heardNanos) {
        boolean restarted = notice.startedAtMillis() > mNotice.startedAtMillis();
        if (restarted) {
            List.copyOf(mParts.values()).forEach(this::remove);
            if (mMemory != null) {
                mMemory.restarted();
            }
            mPrefillUntilNanos = heardNanos;
            mLimit = null;
            mWorkTime.reset();
            mDomainCapacity = null;
            mRestartedNanos = OptionalLong.of(heardNanos);
        }
        if (notice.isNewerThan(mNotice)) {
            accept(notice, heardNanos);
        } else if (notice.startedAtMillis() == mNotice.startedAtMillis()) {
            mLastHeardNanos = Math.max(mLastHeardNanos, heardNanos);
        }
    }

    private void accept(UpstreamStatus notice, long heardNanos) {
        mNotice = notice;
        mLastHeardNanos = heardNanos;
        mMisdirected = false;
        mColdUntilNanos = heardNanos + TimeUnit.MILLISECONDS.toNanos(notice.coldRemainingMillis());
    }

    /** Records that its address belongs to another upstream; lasts until its next heartbeat. */
    void markMisdirected() {
        mMisdirected = true;
    }

    /** Records a response, which proves that the upstream is alive as well as a heartbeat does. */
    void answered(long nowNanos) {
        mLastHeardNanos = Math.max(mLastHeardNanos, nowNanos);
    }

    /** Records the time of an answered call of a plain service, without the crossing. */
    void recordWorkTime(PlacedPart part, long nowNanos) {
        if (mDomainCapacity != null && part.request().promptTokens() == 0) {
            mWorkTime.record(elapsedMillis(part, nowNanos), nowNanos);
        }
    }

    private double elapsedMillis(PlacedPart part, long nowNanos) {
        double millis = (nowNanos - part.grantedNanos()) / NANOS_PER_MILLI;
        return millis - crossingMillis(part.request());
    }

    /** Returns the time that calls of a plain service take here. */
    WorkTime workTime() {
        return mWorkTime;
    }

    /** Returns how long the oldest request has been running without the crossing, 0 if none. */
    double oldestMillis(long nowNanos) {
        return mParts.isEmpty() ? 0 : elapsedMillis(mParts.values().iterator().next(), nowNanos);
    }

    boolean cold(long nowNanos) {
        return nowNanos - mColdUntilNanos < 0;
    }

    long silentNanos(long nowNanos) {
        return nowNanos - mLastHeardNanos;
    }

    /**
     * Returns whether it may receive new work by its own state, its last contact and the failure
     * domains that operators have taken out of service.
     */
    boolean takesWork(Set<FailureDomain> domainsOut, long maximumSilenceNanos, long nowNanos) {
        return mNotice.phase() == UpstreamPhase.READY
                && !mMisdirected
                && !domainsOut.contains(mNotice.domain())
                && silentNanos(nowNanos) <= maximumSilenceNanos;
    }

    void add(PlacedPart part, long nowNanos) {
        mParts.put(part.request().key(), part);
        if (mMemory != null) {
            mMemory.add(part, nowNanos);
        }
        mMemoryTokens += part.memoryTokens();
        mPrimaryCount += part.primary() ? 1 : 0;
        if (part.primary() && part.request().promptTokens() > 0) {
            mPromptSizes.record(part.request().promptTokens(), nowNanos);
        }
        if (mDomainCapacity != null && part.primary()) {
            mDomainCapacity.started();
        }
        if (part.started()) {
            addStartedAnswer(part);
        } else {
            long prefillNanos = (long) (part.prefillMillis() * NANOS_PER_MILLI);
            mPrefillUntilNanos = Math.max(mPrefillUntilNanos, nowNanos) + prefillNanos;
        }
    }

    Optional<PlacedPart> find(PlacementKey key) {
        return Optional.ofNullable(mParts.get(key));
    }

    /** Records the first event of a placement, which shows that its prefill is complete. */
    void started(PlacementKey key, long nowNanos) {
        PlacedPart part = mParts.get(key);
        if (part != null && !part.started()) {
            part.start(nowNanos);
            if (mMemory != null) {
                mMemory.started(part, nowNanos);
            }
            addStartedAnswer(part);
            capPrefillEstimate(nowNanos);
        }
    }

    /** Compares the time of the first event of a placement with its estimate. */
    void recordSlowdown(PlacementKey key, long nowNanos) {
        PlacedPart part = mParts.get(key);
        if (part == null || part.started()) {
            return;
        }
        double expectedNanos = part.firstEventNanos() - part.grantedNanos();
        if (expectedNanos > 0) {
            mHealth.recordSlowdown((nowNanos - part.grantedNanos()) / expectedNanos, nowNanos);
        }
    }

    void ended(PlacementKey key, long nowNanos) {
        PlacedPart part = mParts.get(key);
        if (part != null) {
            remove(part);
            capPrefillEstimate(nowNanos);
        }
    }

    /** Returns the estimated remaining prefill time of the prompts placed here. */
    double pendingPrefillMillis(long nowNanos) {
        return Math.max(0, (mPrefillUntilNanos - nowNanos) / NANOS_PER_MILLI);
    }

    /** Returns the share of it that is in use by answers or blocked by prefill, 0 to 1. */
    double busyShare(long nowNanos) {
        double occupied = (double) mPrimaryCount / Math.max(1, mNotice.slots());
        return Math.min(1, Math.max(occupied, pendingPrefillMillis(nowNanos) / BLOCKED_MILLIS));
    }

    /** Returns the number of placements for which it generates the answer. */
    int primaryCount() {
        return mPrimaryCount;
    }

    /** Returns the number of placements that are decoding here. */
    int decodingCount() {
        return mDecodingCount;
    }

    /** Returns the number of placements for which it only prefills or stores a part. */
    int helperCount() {
        return mParts.size() - mPrimaryCount;
    }

    long contextTokens() {
        return mContextTokens;
    }

    long memoryTokens() {
        return mMemoryTokens;
    }

    boolean idle() {
        return mParts.isEmpty();
    }

    private void addStartedAnswer(PlacedPart part) {
        mContextTokens += part.memoryTokens();
        mDecodingCount += part.primary() ? 1 : 0;
    }

    private void remove(PlacedPart part) {
        mParts.remove(part.request().key());
        if (mMemory != null) {
            mMemory.remove(part);
        }
        mMemoryTokens -= part.memoryTokens();
        mPrimaryCount -= part.primary() ? 1 : 0;
        if (part.started()) {
            mContextTokens -= part.memoryTokens();
            mDecodingCount -= part.primary() ? 1 : 0;
        }
    }

    private void capPrefillEstimate(long nowNanos) {
        double pendingMillis = 0;
        for (PlacedPart part : mParts.values()) {
            pendingMillis += part.started() ? 0 : part.prefillMillis();
        }
        long latest = nowNanos + (long) (pendingMillis * NANOS_PER_MILLI);
        mPrefillUntilNanos = Math.min(mPrefillUntilNanos, latest);
    }
}
