/** What an instance knows of upstreams, from their own reports. */
@NullMarked
package dev.kumquatweir.policy.registry;

import org.jspecify.annotations.NullMarked;
