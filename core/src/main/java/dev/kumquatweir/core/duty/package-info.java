/** A thread for one duty, fed by a bounded ring. */
@NullMarked
package dev.kumquatweir.core.duty;

import org.jspecify.annotations.NullMarked;
