/** Connects an instance to the agreed state. */
@NullMarked
package dev.kumquatweir.program.control;

import org.jspecify.annotations.NullMarked;
