/** Control and entry instances that find each other, and the messages between them. */
@NullMarked
package dev.kumquatweir.program.fleet;

import org.jspecify.annotations.NullMarked;
