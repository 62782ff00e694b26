/** Load tool: an open-loop schedule against running instances, with each answer verified. */
@NullMarked
package dev.kumquatweir.bench.load;

import org.jspecify.annotations.NullMarked;
