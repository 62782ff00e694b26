/** Retry and hedging policies, detection of silent connections, and assembly of resumed streams. */
@NullMarked
package dev.kumquatweir.policy.retry;

import org.jspecify.annotations.NullMarked;
