/** Typed failures, which also state whether the failed request was executed. */
@NullMarked
package dev.kumquatweir.core.failure;

import org.jspecify.annotations.NullMarked;
