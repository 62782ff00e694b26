@NullMarked
package dev.kumquatweir.agreement;

import org.jspecify.annotations.NullMarked;
