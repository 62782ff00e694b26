/** The interface through which the gateway and the bench drive the policy. */
@NullMarked
package dev.kumquatweir.policy.dispatch;

import org.jspecify.annotations.NullMarked;
