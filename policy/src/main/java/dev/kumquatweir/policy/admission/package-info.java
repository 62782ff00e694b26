/** Admission control, and the estimates of queueing and processing time on which it is based. */
@NullMarked
package dev.kumquatweir.policy.admission;

import org.jspecify.annotations.NullMarked;
