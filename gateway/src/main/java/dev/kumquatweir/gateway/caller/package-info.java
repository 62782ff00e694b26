/** HTTP towards callers. */
@NullMarked
package dev.kumquatweir.gateway.caller;

import org.jspecify.annotations.NullMarked;
