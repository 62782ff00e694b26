package dev.kumquatweir.agreement.raft;

/**
 * Decides how much of the log stays when a snapshot covers it. Answers a load of changes of any
 * size, one after the other without a pause, beside members that lag or install a snapshot.
 */
final class LogRetention {
    private LogRetention() {}

    /**
     * Returns the index through which the log may be compacted.
     *
     * <p>Entries that members in contact still need stay, so that a member finds the entries after
     * the snapshot that it has just installed. They are bounded in bytes, whatever a member needs.
     * The entry at the index of the snapshot always stays: with it a start recognises a log that
     * contradicts a received snapshot.
     *
     * @param snapshotIndex index of the snapshot, an entry of the log
     * @param neededIndex first entry that a member in contact needs, {@link Long#MAX_VALUE} if none
     */
    static long compactThrough(
            RaftLog log, RaftSettings settings, long snapshotIndex, long neededIndex) {
        long trailing =
                log.firstIndexWithin(
                        snapshotIndex, settings.trailingEntries(), settings.trailingBytes());
        long earliest =
                log.firstIndexWithin(snapshotIndex, Integer.MAX_VALUE, settings.retainedBytes());
        return Math.max(earliest, Math.min(trailing, neededIndex)) - 1;
    }
}
