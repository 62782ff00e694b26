/** HTTP API for callers: authentication, parsing, idempotency claims and responses. */
@NullMarked
package dev.kumquatweir.gateway.caller;

import org.jspecify.annotations.NullMarked;
