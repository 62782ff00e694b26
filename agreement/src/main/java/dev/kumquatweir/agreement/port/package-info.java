/** The storage port between the Raft core and a log store, with the log and membership types. */
@NullMarked
package dev.kumquatweir.agreement.port;

import org.jspecify.annotations.NullMarked;
