/** Where adapters take the time from. Deciding code takes it as an argument. */
@NullMarked
package dev.kumquatweir.core.time;

import org.jspecify.annotations.NullMarked;
