@NullMarked
package dev.kumquatweir.standin;

import org.jspecify.annotations.NullMarked;
