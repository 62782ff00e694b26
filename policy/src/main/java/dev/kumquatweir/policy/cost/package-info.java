/**
 * What requests cost: the error of estimates and the learned length and duration of answers.
 * Classes are not thread-safe and do no I/O.
 */
@NullMarked
package dev.kumquatweir.policy.cost;

import org.jspecify.annotations.NullMarked;
