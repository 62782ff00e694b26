/**
 * Registry of the upstreams known to an instance, based on their announcements and load reports.
 */
@NullMarked
package dev.kumquatweir.policy.registry;

import org.jspecify.annotations.NullMarked;
