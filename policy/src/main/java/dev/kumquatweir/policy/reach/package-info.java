/** Decisions on whether an instance can reach any upstream. Pure: no input or output. */
@NullMarked
package dev.kumquatweir.policy.reach;

import org.jspecify.annotations.NullMarked;
