package dev.kumquatweir.policy.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.CacheEvents.CacheEvent;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixIndexTest {
    private static final UpstreamId ENGINE = new UpstreamId("e1");

    private final PrefixIndex mIndex = new PrefixIndex();

    /**
     * Guards against an undetected message loss, and against requesting the full list only once.
     */
    @Test
    void requestsTheFullListUntilItArrives() {
        assertThat(mIndex.apply(events(1, 1, stored(1))), is(true));
        assertThat(mIndex.apply(events(1, 3, stored(3))), is(false));
        assertThat(mIndex.apply(events(1, 4, stored(4))), is(false));
        assertThat(
                mIndex.apply(events(1, CacheEvents.FULL_SNAPSHOT, stored(8), stored(9))), is(true));
        assertThat(mIndex.apply(events(1, 5, stored(5))), is(true));
        assertThat(mIndex.holders(List.of(1L)), empty());
        assertThat(mIndex.holders(List.of(8L, 9L)), contains(ENGINE));
    }

    /** Guards against hints about a cache that was lost when the engine restarted. */
    @Test
    void forgetsTheCacheOfAnEarlierIncarnation() {
        mIndex.apply(events(1, 1, stored(1)));
        mIndex.apply(events(2, 1, stored(2)));
        mIndex.apply(events(1, 2, stored(3)));
        assertThat(mIndex.cachedBlocks(ENGINE, List.of(1L)), is(0));
        assertThat(mIndex.cachedBlocks(ENGINE, List.of(3L)), is(0));
        assertThat(mIndex.cachedBlocks(ENGINE, List.of(2L)), is(1));
    }

    /** Guards against hints about evicted prefixes, and against a wrong prefix length. */
    @Test
    void findsTheLongestPrefixStillStored() {
        mIndex.apply(events(1, 1, stored(1), stored(2), stored(3)));
        mIndex.apply(events(1, 4, new CacheEvent(false, 3, 768)));
        assertThat(mIndex.cachedBlocks(ENGINE, List.of(1L, 2L, 3L, 4L)), is(2));
    }

    private static CacheEvents events(long incarnation, long sequence, CacheEvent... events) {
        return new CacheEvents(ENGINE, incarnation, sequence, List.of(events));
    }

    private static CacheEvent stored(long hash) {
        return new CacheEvent(true, hash, hash * 256);
    }
}
