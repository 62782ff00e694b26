/** The cluster-wide configuration document and its parts. */
@NullMarked
package dev.kumquatweir.core.configuration;

import org.jspecify.annotations.NullMarked;
