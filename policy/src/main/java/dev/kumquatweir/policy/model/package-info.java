/** Placement of models on engines and rollout of new model versions. */
@NullMarked
package dev.kumquatweir.policy.model;

import org.jspecify.annotations.NullMarked;
