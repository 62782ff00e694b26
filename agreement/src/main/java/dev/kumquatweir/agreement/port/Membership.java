package dev.kumquatweir.agreement.port;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The members of the Raft group, ordered by name. Names are unique. Immutable.
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

    /** Returns the member with this name and any store id. */
    public Optional<Member> byName(String name) {
        return members.stream().filter(member -> member.id().name().equals(name)).findFirst();
    }

    /** Returns the member with this name and store id. */
    public Optional<Member> find(MemberId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /** Returns whether the member with this name and store id is a voter. */
    public boolean isVoter(MemberId id) {
        return find(id).filter(Member::isVoter).isPresent();
    }

    /** Returns the identities of the voters. */
    public List<MemberId> voters() {
        return members.stream().filter(Member::isVoter).map(Member::id).toList();
    }

    /** Returns the size of a quorum: a majority of the voters. */
    public int quorum() {
        return voters().size() / 2 + 1;
    }

    /** Returns a copy with this member, which replaces any member of the same name. */
    public Membership with(Member member) {
        return new Membership(
                Stream.concat(without(member.id().name()).members.stream(), Stream.of(member))
                        .toList());
    }

    /** Returns a copy without the member of this name. */
    public Membership without(String name) {
        return new Membership(
                members.stream().filter(member -> !member.id().name().equals(name)).toList());
    }
}
