/** Helpers shared by the HTTP adapters: bodies, event streams, responses and errors. */
@NullMarked
package dev.kumquatweir.gateway.http;

import org.jspecify.annotations.NullMarked;
