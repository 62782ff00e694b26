/**
 * Decision logic for requests and upstreams. The code does no I/O and takes the present time as an
 * argument.
 */
@NullMarked
package dev.kumquatweir.policy;

import org.jspecify.annotations.NullMarked;
