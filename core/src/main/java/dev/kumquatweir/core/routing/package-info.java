/**
 * What operators configure about routes, services and teams, and what upstreams say of themselves.
 */
@NullMarked
package dev.kumquatweir.core.routing;

import org.jspecify.annotations.NullMarked;
