/** Counts the outcomes of requests and derives burn rates of service-level objectives from them. */
@NullMarked
package dev.kumquatweir.program.burn;

import org.jspecify.annotations.NullMarked;
