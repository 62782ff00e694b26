/** Frees memory of engines that no instance needs any more. */
@NullMarked
package dev.kumquatweir.gateway.memory;

import org.jspecify.annotations.NullMarked;
