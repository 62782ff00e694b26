package dev.kumquatweir.agreement.port;

/**
 * Identity of a replica: the instance and the data folder it remembers with. An instance whose disk
 * was lost or emptied has a new store id and is a different replica.
 *
 * @param name name of the instance, unique within a membership
 * @param storeId random id kept in the data folder
 */
public record MemberId(String name, String storeId) implements Comparable<MemberId> {
    /**
     * Store id of an instance without a data folder. It may lose its log at each restart, so it is
     * never promoted, never votes and never counts.
     */
    public static final String VOLATILE_STORE = "volatile";

    /** Returns whether this replica forgets everything at a restart. */
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
