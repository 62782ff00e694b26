/** An immutable sequence of bytes. */
@NullMarked
package dev.kumquatweir.core.bytes;

import org.jspecify.annotations.NullMarked;
