/**
 * The operator API: JSON over HTTP under {@code /operator/v1/}, with authentication by bearer key.
 */
@NullMarked
package dev.kumquatweir.program.operator;

import org.jspecify.annotations.NullMarked;
