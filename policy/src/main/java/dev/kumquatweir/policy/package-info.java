/** Decisions on requests and upstreams: pure code, present time as an argument, no I/O. */
@NullMarked
package dev.kumquatweir.policy;

import org.jspecify.annotations.NullMarked;
