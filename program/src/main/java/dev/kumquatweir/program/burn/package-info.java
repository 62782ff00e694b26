/** Counts how requests end, for the report on service-level burn. */
@NullMarked
package dev.kumquatweir.program.burn;

import org.jspecify.annotations.NullMarked;
