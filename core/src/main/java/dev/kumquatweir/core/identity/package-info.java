/** Identifiers of the domain, checked on construction. */
@NullMarked
package dev.kumquatweir.core.identity;

import org.jspecify.annotations.NullMarked;
