/** Estimates of time, and which requests are admitted. */
@NullMarked
package dev.kumquatweir.policy.admission;

import org.jspecify.annotations.NullMarked;
