/** Distributes reports of upstreams and quarantine marks among the instances. */
@NullMarked
package dev.kumquatweir.program.spread;

import org.jspecify.annotations.NullMarked;
