/** Log output that never blocks the logging threads, and traces of requests read from log files. */
@NullMarked
package dev.kumquatweir.program.log;

import org.jspecify.annotations.NullMarked;
