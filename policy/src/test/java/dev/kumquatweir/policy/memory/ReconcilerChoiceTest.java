package dev.kumquatweir.policy.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ReconcilerChoiceTest {
    /** Guards against an uneven distribution of engines, and against reassigning too many. */
    @Test
    void distributesEnginesAndReassignsFewWhenAnInstanceLeaves() {
        List<InstanceId> instances = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            instances.add(new InstanceId("instance-" + number));
        }
        List<InstanceId> fewer = instances.subList(0, 11);
        Map<InstanceId, Integer> counts = new HashMap<>();
        int moved = 0;
        for (int number = 0; number < 2_400; number++) {
            UpstreamId engine = new UpstreamId("engine-" + number);
            InstanceId chosen = ReconcilerChoice.choose(engine, instances).orElseThrow();
            counts.merge(chosen, 1, Integer::sum);
            moved += ReconcilerChoice.choose(engine, fewer).equals(Optional.of(chosen)) ? 0 : 1;
        }
        for (InstanceId instance : instances) {
            assertThat(counts.getOrDefault(instance, 0), greaterThan(120));
        }
        assertThat(moved, is(counts.get(instances.getLast())));
        assertThat(moved, lessThan(300));
    }
}
