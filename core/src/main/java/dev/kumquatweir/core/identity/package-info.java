/** Typed identifiers, validated on construction. */
@NullMarked
package dev.kumquatweir.core.identity;

import org.jspecify.annotations.NullMarked;
