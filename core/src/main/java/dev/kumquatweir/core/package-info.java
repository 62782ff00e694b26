/** Types shared by all modules: identifiers, configuration, routing, failures and encoding. */
@NullMarked
package dev.kumquatweir.core;

import org.jspecify.annotations.NullMarked;
