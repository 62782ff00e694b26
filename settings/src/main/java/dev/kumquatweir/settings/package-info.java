@NullMarked
package dev.kumquatweir.settings;

import org.jspecify.annotations.NullMarked;
