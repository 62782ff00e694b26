package dev.kumquatweir.agreement.port;

/**
 * Reports that all batches up to a sequence number are synced to disk. Immutable.
 *
 * @param sequence number of the last batch that is synced; one completion may cover several
 * @param lastSyncedIndex last index of the stored log, or index of the snapshot if the log is empty
 */
public record StorageCompletion(long sequence, long lastSyncedIndex) {}
