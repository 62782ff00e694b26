/** Events as single lines of key=value pairs. */
@NullMarked
package dev.kumquatweir.core.event;

import org.jspecify.annotations.NullMarked;
