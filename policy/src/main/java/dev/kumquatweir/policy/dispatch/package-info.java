/**
 * The request dispatcher: admission, queueing, placement and recovery, without I/O or clock. The
 * gateway and the bench drive it through {@link dev.kumquatweir.policy.dispatch.Dispatcher}.
 */
@NullMarked
package dev.kumquatweir.policy.dispatch;

import org.jspecify.annotations.NullMarked;
