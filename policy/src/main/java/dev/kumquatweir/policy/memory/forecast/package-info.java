/** Forecast of the KV cache tokens that the requests on an engine will hold. */
@NullMarked
package dev.kumquatweir.policy.memory.forecast;

import org.jspecify.annotations.NullMarked;
