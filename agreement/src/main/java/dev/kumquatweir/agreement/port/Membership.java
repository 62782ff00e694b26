package dev.kumquatweir.agreement.port;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The members of the group, ordered by name; names are unique. Immutable.
 *
 * @param members the members
 */
public record Membership(List<Member> members) {
    /** No members: the state of a replica that has not been added yet. */
    public static final Membership EMPTY = new Membership(List.of());

    /** Sorts the members by name. */
    public Membership {
        members = members.stream().sorted(Comparator.comparing(Member::id)).toList();
    }

    /** Returns the member with this name, whatever its store id. */
    public Optional<Member> byName(String name) {
        return members.stream().filter(member -> member.id().name().equals(name)).findFirst();
    }

    /** Returns the member with exactly this identity. */
    public Optional<Member> find(MemberId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /** Returns whether exactly this identity votes. */
    public boolean isVoter(MemberId id) {
        return find(id).filter(Member::isVoter).isPresent();
    }

    /** Returns the identities of the voters. */
    public List<MemberId> voters() {
        return members.stream().filter(Member::isVoter).map(Member::id).toList();
    }

    /** Returns how many voters are a quorum. */
    public int quorum() {
        return voters().size() / 2 + 1;
    }

    /** Returns a membership in which this member replaces any member of the same name. */
    public Membership with(Member member) {
        return new Membership(
                Stream.concat(without(member.id().name()).members.stream(), Stream.of(member))
                        .toList());
    }

    /** Returns a membership without the member of this name. */
    public Membership without(String name) {
        return new Membership(
                members.stream().filter(member -> !member.id().name().equals(name)).toList());
    }
}
