/** Runs the policy of one instance and carries out its actions. */
@NullMarked
package dev.kumquatweir.gateway.dispatch;

import org.jspecify.annotations.NullMarked;
