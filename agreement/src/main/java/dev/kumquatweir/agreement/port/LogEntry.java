package dev.kumquatweir.agreement.port;

import dev.kumquatweir.core.bytes.Bytes;

/**
 * Entry of the replicated log. Immutable.
 *
 * @param index position in the log, from 1, without gaps
 * @param term term of the leader that appended it
 * @param payload content, opaque to the log store
 * @param kind kind of the payload
 */
public record LogEntry(long index, long term, Bytes payload, EntryKind kind) {}
