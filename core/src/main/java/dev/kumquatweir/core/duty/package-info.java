/** Single-threaded event loops with a bounded task queue. */
@NullMarked
package dev.kumquatweir.core.duty;

import org.jspecify.annotations.NullMarked;
