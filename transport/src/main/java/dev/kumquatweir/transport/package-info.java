@NullMarked
package dev.kumquatweir.transport;

import org.jspecify.annotations.NullMarked;
