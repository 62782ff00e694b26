package dev.kumquatweir.agreement.port;

/**
 * Identity of a replica: an instance together with its data folder. An instance whose disk was lost
 * or emptied gets a new store id and is a different replica.
 *
 * @param name name of the instance, unique within a membership
 * @param storeId random id stored in the data folder
 */
public record MemberId(String name, String storeId) implements Comparable<MemberId> {
    /**
     * Store id of an instance without a data folder. It loses its log at each restart, so it stays
     * a learner: it is never promoted to voter and never counts towards a quorum.
     */
    public static final String VOLATILE_STORE = "volatile";

    /** Returns whether this replica has no durable storage and loses its state at a restart. */
    public boolean isVolatile() {
        return storeId.equals(VOLATILE_STORE);
    }

    @Override
    public int compareTo(MemberId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : storeId.compareTo(other.storeId);
    }

    @Override
    public String toString() {
        return name + "/" + storeId;
    }
}
