/** Planned stops of an instance: which requests it still accepts and how the others end. */
@NullMarked
package dev.kumquatweir.policy.stop;

import org.jspecify.annotations.NullMarked;
