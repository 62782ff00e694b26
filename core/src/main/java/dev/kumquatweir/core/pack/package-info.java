/** MessagePack for the messages and records of the system's own processes. */
@NullMarked
package dev.kumquatweir.core.pack;

import org.jspecify.annotations.NullMarked;
