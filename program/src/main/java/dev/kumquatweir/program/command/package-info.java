/** Subcommands of the command line. */
@NullMarked
package dev.kumquatweir.program.command;

import org.jspecify.annotations.NullMarked;
