/** The operators' listener: JSON over HTTP under {@code /operator/v1/}. */
@NullMarked
package dev.kumquatweir.program.operator;

import org.jspecify.annotations.NullMarked;
