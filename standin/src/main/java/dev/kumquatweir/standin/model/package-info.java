/** Model of a batching engine: pure, with the time as an argument. */
@NullMarked
package dev.kumquatweir.standin.model;

import org.jspecify.annotations.NullMarked;
