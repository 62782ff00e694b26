@NullMarked
package dev.kumquatweir.storage;

import org.jspecify.annotations.NullMarked;
