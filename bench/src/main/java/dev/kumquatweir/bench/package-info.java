@NullMarked
package dev.kumquatweir.bench;

import org.jspecify.annotations.NullMarked;
