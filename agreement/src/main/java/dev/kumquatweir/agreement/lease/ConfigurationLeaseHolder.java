package dev.kumquatweir.agreement.lease;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import java.util.TreeMap;

/**
 * An instance's side of the configuration lease: the configuration that the instance may use, and
 * until when. The version never decreases. Not thread-safe.
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
     * Creates a holder without a lease.
     *
     * @param instance the instance
     * @param processNonce random number generated once for each start of the process
     * @param times length and request interval of the leases
     * @param nowNanos present monotonic time
     */
    public ConfigurationLeaseHolder(
            InstanceId instance, long processNonce, LeaseTimes times, long nowNanos) {
        mInstance = instance;
        mProcessNonce = processNonce;
        mTimes = times;
        mNextRequestNanos = nowNanos;
        mLeaseEndNanos = nowNanos;
    }

    /** Returns whether the next lease request to the leader is due. */
    public boolean requestDue(long nowNanos) {
        return nowNanos - mNextRequestNanos >= 0;
    }

    /**
     * Returns a new lease request. A lease that is granted for it is counted from the given time.
     */
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
     * Processes a grant: extends the lease and adopts a newer configuration.
     *
     * @return false if the grant is ignored because it is stale, belongs to another process or
     *     lacks the document of a newer version
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

    /**
     * Gives up the lease before a planned stop, and ignores grants for earlier requests. No new
     * requests may be sent upstream after that.
     */
    public void surrender(long nowNanos) {
        mRequestNanosById.clear();
        mLeaseEndNanos = nowNanos;
    }

    /**
     * Returns whether the lease is valid, so that new requests may be sent under {@link #document}.
     */
    public boolean maySend(long nowNanos) {
        return nowNanos - mLeaseEndNanos < 0;
    }

    /** Returns the monotonic time at which the lease ends. */
    public long leaseEndNanos() {
        return mLeaseEndNanos;
    }

    /** Returns the version of the configuration in use, 0 before the first. */
    public long version() {
        return mVersion;
    }

    /** Returns the document of the version in use. */
    public Bytes document() {
        return mDocument;
    }

    /** Returns the random number that identifies this process. */
    public long processNonce() {
        return mProcessNonce;
    }
}
