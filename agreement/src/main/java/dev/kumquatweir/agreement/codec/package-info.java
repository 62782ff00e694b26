/** MessagePack codecs for messages, log entry payloads and snapshots. */
@NullMarked
package dev.kumquatweir.agreement.codec;

import org.jspecify.annotations.NullMarked;
