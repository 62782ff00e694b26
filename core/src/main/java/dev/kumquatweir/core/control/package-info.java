/** Ports through which an entry instance uses the agreed state. */
@NullMarked
package dev.kumquatweir.core.control;

import org.jspecify.annotations.NullMarked;
