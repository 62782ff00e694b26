/** Types that every other module builds on. No I/O, no clock. */
@NullMarked
package dev.kumquatweir.core;

import org.jspecify.annotations.NullMarked;
