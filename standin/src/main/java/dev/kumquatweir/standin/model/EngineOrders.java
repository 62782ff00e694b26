package dev.kumquatweir.standin.model;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/** Takes orders and carries them out after the time that a load needs. Not thread-safe. */
public final class EngineOrders {
    private final boolean mChecksFencing;
    private final long mLoadNanos;
    private final List<PendingLoad> mPending = new ArrayList<>();
    private long mHighestFencing = Long.MIN_VALUE;
    private String mRole;
    private boolean mChanged;

    /**
     * Starts without orders.
     *
     * @param checksFencing whether an order with an old fencing number is refused
     * @param loadNanos time that a load takes
     * @param role role until an order changes it
     */
    public EngineOrders(boolean checksFencing, long loadNanos, String role) {
        mChecksFencing = checksFencing;
        mLoadNanos = loadNanos;
        mRole = role;
    }

    private record PendingLoad(String servedName, long readyNanos) {}

    /** Returns the role now. */
    public String role() {
        return mRole;
    }

    /**
     * Takes an order or refuses it.
     *
     * @return on the right the time in nanoseconds until it is carried out
     */
    public Either<EngineRefusal, Long> take(EngineOrder order, long nowNanos) {
        String servedName = order.servedName();
        if (servedName == null) {
            return Either.left(EngineRefusal.MALFORMED);
        }
        if (mChecksFencing && order.fencing() < mHighestFencing) {
            return Either.left(EngineRefusal.STALE_FENCING);
        }
        mHighestFencing = Math.max(mHighestFencing, order.fencing());
        if (order.order() == EngineOrder.Kind.SET_ROLE) {
            mChanged = !mRole.equals(servedName) || mChanged;
            mRole = servedName;
            return Either.right(0L);
        }
        mPending.add(new PendingLoad(servedName, nowNanos + mLoadNanos));
        return Either.right(mLoadNanos);
    }

    /** Adds the models whose load has ended; returns whether the models or the role changed. */
    public boolean advance(Set<String> models, long nowNanos) {
        boolean changed = mChanged;
        mChanged = false;
        Iterator<PendingLoad> pending = mPending.iterator();
        while (pending.hasNext()) {
            PendingLoad load = pending.next();
            if (nowNanos - load.readyNanos() >= 0) {
                changed |= models.add(load.servedName());
                pending.remove();
            }
        }
        return changed;
    }
}
