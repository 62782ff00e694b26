@NullMarked
package dev.kumquatweir.policy;

import org.jspecify.annotations.NullMarked;
