/** Structured logging: one line of key=value pairs for each event. */
@NullMarked
package dev.kumquatweir.core.event;

import org.jspecify.annotations.NullMarked;
