/**
 * Permits for limits that instances share: wire format, issue by the leader and renewal by the
 * instances.
 */
@NullMarked
package dev.kumquatweir.program.permit;

import org.jspecify.annotations.NullMarked;
