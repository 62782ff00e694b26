package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * A snapshot of the upstreams that may take work for one service and model, each with its lane.
 * Immutable apart from the loads that it refers to.
 */
public final class Pool {
    /** An upstream of a pool with its lane. */
    public record Member(UpstreamLoad load, LengthStrategy.Lane lane) {}

    private final List<Member> mAll;
    private final List<Member> mForShort;
    private final List<Member> mForLong;
    private final List<Member> mShortLane;
    private final List<Member> mLongLane;
    private final Map<UpstreamId, Member> mById;
    private final long mLargestMemoryTokens;

    private Pool(List<Member> all) {
        mAll = List.copyOf(all);
        mShortLane = inLane(all, LengthStrategy.Lane.SHORT);
        mLongLane = inLane(all, LengthStrategy.Lane.LONG);
        mForShort = all.stream().filter(member -> accepts(member, LengthClass.SHORT)).toList();
        mForLong = all.stream().filter(member -> accepts(member, LengthClass.LONG)).toList();
        mById =
                all.stream()
                        .collect(
                                Collectors.toMap(
                                        member -> member.load().state().announcement().id(),
                                        member -> member));
        mLargestMemoryTokens =
                all.stream()
                        .mapToLong(member -> member.load().state().announcement().memoryTokens())
                        .max()
                        .orElse(0);
    }

    /**
     * Creates a pool. Lanes depend only on identifiers and failure domains, so that all instances
     * that know the same upstreams assign the same lanes. Each lane is spread over the failure
     * domains.
     */
    public static Pool of(List<UpstreamLoad> loads, LengthStrategy strategy) {
        List<UpstreamLoad> byId =
                loads.stream()
                        .sorted(Comparator.comparing(load -> load.state().announcement().id()))
                        .toList();
        Map<FailureDomain, Integer> ranks = new HashMap<>();
        record Ranked(UpstreamLoad load, int rank) {}
        List<Ranked> ranked = new ArrayList<>();
        for (UpstreamLoad load : byId) {
            int rank = ranks.merge(load.state().announcement().domain(), 1, Integer::sum);
            ranked.add(new Ranked(load, rank));
        }
        ranked.sort(Comparator.comparingInt(Ranked::rank));
        List<Member> members = new ArrayList<>();
        for (int index = 0; index < ranked.size(); index++) {
            UpstreamLoad load = ranked.get(index).load();
            boolean engine = load.state().announcement().kind() == UpstreamKind.ENGINE;
            LengthStrategy.Lane lane =
                    engine ? strategy.lane(index, ranked.size()) : LengthStrategy.Lane.MIXED;
            members.add(new Member(load, lane));
        }
        return new Pool(members);
    }

    /** Returns all members. */
    public List<Member> all() {
        return mAll;
    }

    /** Returns the member for an upstream, or null if the upstream is not in the pool. */
    public @Nullable Member find(UpstreamId upstream) {
        return mById.get(upstream);
    }

    /** Returns the members that take prompts of a class. */
    public List<Member> preferred(LengthClass length) {
        return length == LengthClass.SHORT ? mForShort : mForLong;
    }

    /**
     * Returns the members of the lane for the other class, which prompts of this class may borrow.
     */
    public List<Member> borrowable(LengthClass length) {
        return length == LengthClass.SHORT ? mLongLane : mShortLane;
    }

    /** Returns the memory of each member, in tokens. */
    public static List<Long> memories(List<Member> members) {
        return members.stream()
                .map(member -> member.load().state().announcement().memoryTokens())
                .toList();
    }

    /** Returns the memory of the largest engine, in tokens. */
    public long largestMemoryTokens() {
        return mLargestMemoryTokens;
    }

    private static boolean accepts(Member member, LengthClass length) {
        return switch (member.lane()) {
            case MIXED -> true;
            case SHORT -> length == LengthClass.SHORT;
            case LONG -> length == LengthClass.LONG;
        };
    }

    private static List<Member> inLane(List<Member> all, LengthStrategy.Lane lane) {
        return all.stream().filter(member -> member.lane() == lane).toList();
    }
}
