/** Detection and isolation of requests that crash the upstreams which execute them. */
@NullMarked
package dev.kumquatweir.policy.quarantine;

import org.jspecify.annotations.NullMarked;
