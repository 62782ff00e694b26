/** Prompts over several engines: carries out the steps of their runs. */
@NullMarked
package dev.kumquatweir.gateway.oversize;

import org.jspecify.annotations.NullMarked;
