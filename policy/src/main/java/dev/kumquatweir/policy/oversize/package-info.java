/** Prompts that do not fit into the memory of one engine and are split over several. */
@NullMarked
package dev.kumquatweir.policy.oversize;

import org.jspecify.annotations.NullMarked;
