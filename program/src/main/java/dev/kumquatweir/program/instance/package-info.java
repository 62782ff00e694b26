/** Assembles the instance daemon from its components and runs its life cycle. */
@NullMarked
package dev.kumquatweir.program.instance;

import org.jspecify.annotations.NullMarked;
