@NullMarked
package dev.kumquatweir.program;

import org.jspecify.annotations.NullMarked;
