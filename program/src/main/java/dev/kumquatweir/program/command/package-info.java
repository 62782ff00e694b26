/**
 * Subcommands of the command line: daemons, stand-ins for development, load and bench tools, and
 * the commands with which operators inspect and change a running deployment.
 */
@NullMarked
package dev.kumquatweir.program.command;

import org.jspecify.annotations.NullMarked;
