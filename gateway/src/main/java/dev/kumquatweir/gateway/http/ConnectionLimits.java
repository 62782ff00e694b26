package dev.kumquatweir.gateway.http;

/**
 * Limits of one connection, for requests and responses alike. Immutable.
 *
 * @param headBytes bytes of a head, a trailer section or the size line of a chunk, each counted up
 *     to one read of the transport too late
 * @param headFields lines of a head, a trailer section or empty lines before a message
 * @param headMillis time from the first byte of a request to the end of its head
 * @param bodyStallMillis time for which nothing comes of a request's body that is being read
 * @param unreadMillis time for which nothing is read of a response that has been written
 * @param pipelinedRequests requests that are decoded before the first of them has a response
 */
public record ConnectionLimits(
        int headBytes,
        int headFields,
        long headMillis,
        long bodyStallMillis,
        long unreadMillis,
        int pipelinedRequests) {
    /** Defaults; eight times the head that callers may send. */
    public static final ConnectionLimits DEFAULTS = builder().build();

    /** Returns a builder with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builder. Not thread-safe. */
    public static final class Builder {
        private int mHeadBytes = 128 << 10;
        private int mHeadFields = 512;
        private long mHeadMillis = 15_000;
        private long mBodyStallMillis = 30_000;
        private long mUnreadMillis = 30_000;
        private int mPipelinedRequests = 16;

        private Builder() {}

        /** Sets the bytes of a head. */
        public Builder headBytes(int bytes) {
            mHeadBytes = bytes;
            return this;
        }

        /** Sets the lines of a head. */
        public Builder headFields(int fields) {
            mHeadFields = fields;
            return this;
        }

        /** Sets the time for a head. */
        public Builder headMillis(long millis) {
            mHeadMillis = millis;
            return this;
        }

        /** Sets the time for which a body may stand still. */
        public Builder bodyStallMillis(long millis) {
            mBodyStallMillis = millis;
            return this;
        }

        /** Sets the time for which a response may stay unread. */
        public Builder unreadMillis(long millis) {
            mUnreadMillis = millis;
            return this;
        }

        /** Sets the requests that are decoded ahead of their responses. */
        public Builder pipelinedRequests(int requests) {
            mPipelinedRequests = requests;
            return this;
        }

        /** Returns the limits. */
        public ConnectionLimits build() {
            return new ConnectionLimits(
                    mHeadBytes,
                    mHeadFields,
                    mHeadMillis,
                    mBodyStallMillis,
                    mUnreadMillis,
                    mPipelinedRequests);
        }
    }
}
