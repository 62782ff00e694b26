/** What the HTTP adapters share. */
@NullMarked
package dev.kumquatweir.gateway.http;

import org.jspecify.annotations.NullMarked;
