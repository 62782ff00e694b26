package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.RoutingImage;
import java.util.function.Consumer;

/**
 * Calls a listener once for each change of the routing document or of the failure domains out of
 * service. Confined to one thread.
 */
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
