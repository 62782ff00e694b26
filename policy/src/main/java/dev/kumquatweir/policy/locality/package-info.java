/** Weighs the failure domains in which requests can run. Pure: no input or output. */
@NullMarked
package dev.kumquatweir.policy.locality;

import org.jspecify.annotations.NullMarked;
