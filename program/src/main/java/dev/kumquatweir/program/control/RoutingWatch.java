package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.RoutingImage;
import java.util.function.Consumer;

/** Tells of each change of what is in force for routing, once. Used by one thread. */
final class RoutingWatch {
    private final Consumer<RoutingImage> mListener;
    private RoutingImage mKnown = RoutingImage.EMPTY;

    RoutingWatch(Consumer<RoutingImage> listener) {
        mListener = listener;
    }

    void check(RoutingImage routing) {
        if (routing.changeCount() != mKnown.changeCount()) {
            mKnown = routing;
            mListener.accept(routing);
        }
    }
}
