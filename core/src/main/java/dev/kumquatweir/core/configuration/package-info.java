/** The configuration document that all instances agree on. */
@NullMarked
package dev.kumquatweir.core.configuration;

import org.jspecify.annotations.NullMarked;
