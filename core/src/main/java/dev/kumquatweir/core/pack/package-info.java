/** MessagePack encoding of messages between instances and of stored records. */
@NullMarked
package dev.kumquatweir.core.pack;

import org.jspecify.annotations.NullMarked;
