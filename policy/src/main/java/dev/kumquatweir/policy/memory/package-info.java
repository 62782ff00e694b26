/** Memory of engines: reservations and what nobody owns any more. */
@NullMarked
package dev.kumquatweir.policy.memory;

import org.jspecify.annotations.NullMarked;
