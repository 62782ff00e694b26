package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.TreeMap;

/**
 * An instance's side of the configuration lease: what it serves under, and until when. The version
 * never goes back. Used by one thread.
 */
public final class ConfigurationLeaseHolder {
    private final InstanceId mInstance;
    private final long mProcessNonce;
    private final LeaseTimes mTimes;
    private final TreeMap<Long, Long> mRequestNanosById = new TreeMap<>();
    private long mLastRequestId;
    private long mNextRequestNanos;
    private long mVersion;
    private Bytes mDocument = Bytes.EMPTY;
    private long mLeaseEndNanos;

    /**
     * Makes a holder without a lease.
     *
     * @param instance the instance
     * @param processNonce random number drawn once for each start of the process
     * @param times times of the leases
     * @param nowNanos present time
     */
    public ConfigurationLeaseHolder(
            InstanceId instance, long processNonce, LeaseTimes times, long nowNanos) {
        mInstance = instance;
        mProcessNonce = processNonce;
        mTimes = times;
        mNextRequestNanos = nowNanos;
        mLeaseEndNanos = nowNanos;
    }

    /** Returns whether it is time to ask the leader. */
    public boolean requestDue(long nowNanos) {
        return nowNanos - mNextRequestNanos >= 0;
    }

    /** Makes an ask; the lease it may bring is counted from now. */
    public LeaseRequest newRequest(long nowNanos) {
        mRequestNanosById
                .values()
                .removeIf(requestedNanos -> nowNanos - requestedNanos >= mTimes.leaseNanos());
        mLastRequestId++;
        mRequestNanosById.put(mLastRequestId, nowNanos);
        mNextRequestNanos = nowNanos + mTimes.requestIntervalNanos();
        return new LeaseRequest(mInstance, mProcessNonce, mLastRequestId, mVersion);
    }

    /**
     * Takes a grant.
     *
     * @return false if it is stale, belongs to another process or lacks the document it needs
     */
    public boolean onGrant(LeaseGrant grant) {
        boolean own = grant.instance().equals(mInstance) && grant.processNonce() == mProcessNonce;
        Long requestedNanos = own ? mRequestNanosById.remove(grant.requestId()) : null;
        boolean lacksDocument = grant.version() > mVersion && grant.document().isEmpty();
        if (requestedNanos == null || grant.version() < mVersion || lacksDocument) {
            return false;
        }
        if (grant.version() > mVersion) {
            mVersion = grant.version();
            mDocument = grant.document().orElse(Bytes.EMPTY);
        }
        long end = requestedNanos + Math.min(grant.leaseNanos(), mTimes.leaseNanos());
        if (end - mLeaseEndNanos > 0) {
            mLeaseEndNanos = end;
        }
        return true;
    }

    /** Gives the lease up, before a planned stop; nothing may be sent any more. */
    public void surrender(long nowNanos) {
        mRequestNanosById.clear();
        mLeaseEndNanos = nowNanos;
    }

    /** Returns whether new work may be sent under {@link #document} at this moment. */
    public boolean maySend(long nowNanos) {
        return nowNanos - mLeaseEndNanos < 0;
    }

    /** Returns the monotonic time at which the lease ends. */
    public long leaseEndNanos() {
        return mLeaseEndNanos;
    }

    /** Returns the version it serves under, 0 before any. */
    public long version() {
        return mVersion;
    }

    /** Returns the document of that version. */
    public Bytes document() {
        return mDocument;
    }

    /** Returns the random number of this process. */
    public long processNonce() {
        return mProcessNonce;
    }
}
