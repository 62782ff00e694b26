/** Choice of the upstream for a request, from late and incomplete knowledge. */
@NullMarked
package dev.kumquatweir.policy.routing;

import org.jspecify.annotations.NullMarked;
