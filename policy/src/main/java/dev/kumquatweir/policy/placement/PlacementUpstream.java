package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One upstream as the scheduler sees it: its own word, its outcomes and the work placed there. */
final class PlacementUpstream {
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** With one place an instance could not use an upstream that it has just warmed up. */
    private static final int LEAST_SHARE = 2;

    private final UpstreamTrust mTrust = new UpstreamTrust();
    private final StartRate mStarts = new StartRate();
    private final Map<PlacementKey, PlacedWork> mWorks = new LinkedHashMap<>();
    private UpstreamStatus mNotice;
    private long mHeardNanos;
    private long mColdUntilNanos;
    private long mReadUntilNanos;
    private boolean mMisdirected;
    private int mInstances = 1;
    private double mPreference;
    private int mAnswering;
    private int mWriting;
    private long mContextTokens;
    private long mMemoryTokens;

    PlacementUpstream(UpstreamStatus notice, long heardNanos) {
        mNotice = notice;
        mReadUntilNanos = heardNanos;
        accept(notice, heardNanos);
    }

    UpstreamStatus notice() {
        return mNotice;
    }

    UpstreamTrust trust() {
        return mTrust;
    }

    StartRate starts() {
        return mStarts;
    }

    Collection<PlacedWork> works() {
        return mWorks.values();
    }

    /**
     * Sets that several instances place work here without knowing of each other.
     *
     * @param instances how many
     * @param preference how much this one prefers this upstream, 0 to 1
     */
    void alone(int instances, double preference) {
        mInstances = instances;
        mPreference = preference;
    }

    /** Returns whether a request's caller is connected in the same failure domain. */
    boolean near(PlacementRequest request) {
        return request.domain().isPresent() && request.domain().get().equals(mNotice.domain());
    }

    /** Returns how much an instance that places alone prefers this upstream, 0 to 1. */
    double preference() {
        return mPreference;
    }

    /**
     * Returns how many requests may run here at once. An instance that places alone uses twice its
     * share, since the others have less to place on some upstreams.
     */
    int places(int slots, long nowNanos) {
        int trusted = mTrust.openPlaces(slots, nowNanos);
        return mInstances == 1
                ? trusted
                : Math.min(trusted, Math.max(LEAST_SHARE, 2 * slots / mInstances));
    }

    /** Takes a notice; one that is not newer only counts as a sign of life. */
    void heard(UpstreamStatus notice, long heardNanos) {
        boolean newLife = notice.startedAtMillis() > mNotice.startedAtMillis();
        if (newLife) {
            List.copyOf(mWorks.values()).forEach(this::remove);
            mReadUntilNanos = heardNanos;
        }
        if (notice.isNewerThan(mNotice)) {
            accept(notice, heardNanos);
        } else if (notice.startedAtMillis() == mNotice.startedAtMillis()) {
            mHeardNanos = Math.max(mHeardNanos, heardNanos);
        }
    }

    private void accept(UpstreamStatus notice, long heardNanos) {
        mNotice = notice;
        mHeardNanos = heardNanos;
        mMisdirected = false;
        mColdUntilNanos = heardNanos + TimeUnit.MILLISECONDS.toNanos(notice.coldRemainingMillis());
    }

    /** Takes note that another upstream has its address. */
    void misdirected() {
        mMisdirected = true;
    }

    /** Takes note of an answer, which is as good a sign of life as a heartbeat. */
    void answered(long nowNanos) {
        mHeardNanos = Math.max(mHeardNanos, nowNanos);
    }

    boolean cold(long nowNanos) {
        return nowNanos - mColdUntilNanos < 0;
    }

    long silentNanos(long nowNanos) {
        return nowNanos - mHeardNanos;
    }

    /** Returns whether it may get new work as far as its own word and the operators' go. */
    boolean takesWork(Set<FailureDomain> domainsOut, long longestSilenceNanos, long nowNanos) {
        return mNotice.phase() == UpstreamPhase.READY
                && !mMisdirected
                && !domainsOut.contains(mNotice.domain())
                && silentNanos(nowNanos) <= longestSilenceNanos;
    }

    void add(PlacedWork work, long nowNanos) {
        mWorks.put(work.request().key(), work);
        mMemoryTokens += work.memoryTokens();
        mAnswering += work.answers() ? 1 : 0;
        if (work.started()) {
            writes(work);
        } else {
            long readNanos = (long) (work.readMillis() * NANOS_PER_MILLI);
            mReadUntilNanos = Math.max(mReadUntilNanos, nowNanos) + readNanos;
        }
    }

    Optional<PlacedWork> find(PlacementKey key) {
        return Optional.ofNullable(mWorks.get(key));
    }

    /** Takes note of the first event of a placement: its prompt has been read. */
    void started(PlacementKey key, long nowNanos) {
        PlacedWork work = mWorks.get(key);
        if (work != null && !work.started()) {
            work.start();
            writes(work);
            correctReading(nowNanos);
        }
    }

    void ended(PlacementKey key, long nowNanos) {
        PlacedWork work = mWorks.get(key);
        if (work != null) {
            remove(work);
            correctReading(nowNanos);
        }
    }

    /** Returns how long the prompts placed here will still be read, as far as is known. */
    double unreadMillis(long nowNanos) {
        return Math.max(0, (mReadUntilNanos - nowNanos) / NANOS_PER_MILLI);
    }

    /** Returns how many placements it answers. */
    int answering() {
        return mAnswering;
    }

    /** Returns how many placements emit events now. */
    int writing() {
        return mWriting;
    }

    /** Returns how many placements it only helps with. */
    int helping() {
        return mWorks.size() - mAnswering;
    }

    long contextTokens() {
        return mContextTokens;
    }

    long memoryTokens() {
        return mMemoryTokens;
    }

    boolean idle() {
        return mWorks.isEmpty();
    }

    private void writes(PlacedWork work) {
        mContextTokens += work.memoryTokens();
        mWriting += work.answers() ? 1 : 0;
    }

    private void remove(PlacedWork work) {
        mWorks.remove(work.request().key());
        mMemoryTokens -= work.memoryTokens();
        mAnswering -= work.answers() ? 1 : 0;
        if (work.started()) {
            mContextTokens -= work.memoryTokens();
            mWriting -= work.answers() ? 1 : 0;
        }
    }

    private void correctReading(long nowNanos) {
        double unread = 0;
        for (PlacedWork work : mWorks.values()) {
            unread += work.started() ? 0 : work.readMillis();
        }
        long latest = nowNanos + (long) (unread * NANOS_PER_MILLI);
        mReadUntilNanos = Math.min(mReadUntilNanos, latest);
    }
}
