/**
 * Control and entry instances of the fleet: discovery of control instances, distribution of routing
 * and upstream state, placement by the leader, and the messages between instances.
 */
@NullMarked
package dev.kumquatweir.program.fleet;

import org.jspecify.annotations.NullMarked;
