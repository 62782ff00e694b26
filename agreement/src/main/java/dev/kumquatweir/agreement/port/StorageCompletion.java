package dev.kumquatweir.agreement.port;

/**
 * Reports that all batches up to a sequence number are synced. Immutable.
 *
 * @param sequence number of the last batch that is synced; one completion may cover several
 * @param lastSyncedIndex highest index of the stored log (or of the snapshot, if the log is empty)
 */
public record StorageCompletion(long sequence, long lastSyncedIndex) {}
