/** Log output that never holds up the threads that log. */
@NullMarked
package dev.kumquatweir.program.log;

import org.jspecify.annotations.NullMarked;
