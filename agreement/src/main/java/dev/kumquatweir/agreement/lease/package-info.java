/** Configuration leases: the leader's table of leases and the instance's side. */
@NullMarked
package dev.kumquatweir.agreement.lease;

import org.jspecify.annotations.NullMarked;
