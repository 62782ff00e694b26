/** Reads TOML into immutable settings and checks them as a whole before anything starts. */
@NullMarked
package dev.kumquatweir.settings;

import org.jspecify.annotations.NullMarked;
