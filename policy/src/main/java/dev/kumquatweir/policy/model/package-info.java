/** Which upstream loads which model, and how a new version is rolled out. */
@NullMarked
package dev.kumquatweir.policy.model;

import org.jspecify.annotations.NullMarked;
