/**
 * HTTP adapters that connect callers and upstreams to the decision logic of the policy module: the
 * callers' API, forwarding, dispatch, oversize prompts, engine memory and upstream reports.
 */
@NullMarked
package dev.kumquatweir.gateway;

import org.jspecify.annotations.NullMarked;
