package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.RoutingImage;
import java.util.function.Consumer;

/** Tells of each change of what is in force for routing, once. Used by one thread. */
final class RoutingChangeNotifier {
    private final Consumer<RoutingImage> mListener;
    private RoutingImage mLastNotified = RoutingImage.EMPTY;

    RoutingChangeNotifier(Consumer<RoutingImage> listener) {
        mListener = listener;
    }

    void update(RoutingImage routing) {
        if (routing.changeCount() != mLastNotified.changeCount()) {
            mLastNotified = routing;
            mListener.accept(routing);
        }
    }
}
