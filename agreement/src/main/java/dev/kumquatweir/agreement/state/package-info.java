/** The replicated state machine over committed log entries. */
@NullMarked
package dev.kumquatweir.agreement.state;

import org.jspecify.annotations.NullMarked;
