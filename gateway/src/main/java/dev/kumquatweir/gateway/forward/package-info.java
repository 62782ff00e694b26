/**
 * Reverse proxy of an entry instance: forwards requests unchanged to the upstream that placement
 * chose, relays the response, and resends after a failure where the route allows it.
 */
@NullMarked
package dev.kumquatweir.gateway.forward;

import org.jspecify.annotations.NullMarked;
