/** The storage port: what the agreement core hands to a log store and reads from it at start. */
@NullMarked
package dev.kumquatweir.agreement.port;

import org.jspecify.annotations.NullMarked;
