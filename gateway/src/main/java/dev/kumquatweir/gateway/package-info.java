/** HTTP adapters around the policy. */
@NullMarked
package dev.kumquatweir.gateway;

import org.jspecify.annotations.NullMarked;
