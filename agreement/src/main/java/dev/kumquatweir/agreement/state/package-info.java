/** The replicated state machine, which applies committed log entries. */
@NullMarked
package dev.kumquatweir.agreement.state;

import org.jspecify.annotations.NullMarked;
