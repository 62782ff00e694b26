/** Clocks for adapters. Code that makes decisions takes the present time as an argument instead. */
@NullMarked
package dev.kumquatweir.core.time;

import org.jspecify.annotations.NullMarked;
