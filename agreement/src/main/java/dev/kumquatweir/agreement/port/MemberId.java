package dev.kumquatweir.agreement.port;

/**
 * Identity of a replica: the instance and the data folder it remembers with. An instance whose disk
 * was lost or emptied has a new store id and is a different replica.
 *
 * @param name name of the instance, unique within a membership
 * @param store random id kept in the data folder
 */
public record MemberId(String name, String store) implements Comparable<MemberId> {
    @Override
    public int compareTo(MemberId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : store.compareTo(other.store);
    }

    @Override
    public String toString() {
        return name + "/" + store;
    }
}
