/** Permits between processes: their form, the leader's side and the renewal of an instance. */
@NullMarked
package dev.kumquatweir.program.permit;

import org.jspecify.annotations.NullMarked;
