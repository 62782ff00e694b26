/** Typed failures and what they say about execution. */
@NullMarked
package dev.kumquatweir.core.failure;

import org.jspecify.annotations.NullMarked;
