/** Ports through which an entry instance uses the replicated state: claims and configuration. */
@NullMarked
package dev.kumquatweir.core.control;

import org.jspecify.annotations.NullMarked;
