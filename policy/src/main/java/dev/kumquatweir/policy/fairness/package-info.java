/** Fair queueing of requests by urgency and team. */
@NullMarked
package dev.kumquatweir.policy.fairness;

import org.jspecify.annotations.NullMarked;
