/** Routes, services and teams of the routing document, and the status that upstreams report. */
@NullMarked
package dev.kumquatweir.core.routing;

import org.jspecify.annotations.NullMarked;
