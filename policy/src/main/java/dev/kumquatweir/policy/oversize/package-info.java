/** Prompts beyond the memory of one engine. */
@NullMarked
package dev.kumquatweir.policy.oversize;

import org.jspecify.annotations.NullMarked;
