package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A voter whose data folder was emptied while it was down. */
class LostDiskIt {
    private static final String BODY = "{\"amount\": 50}";

    @TempDir Path mFolder;
    private LocalCluster mCluster;

    @BeforeEach
    void startCluster() {
        mCluster = LocalCluster.start(mFolder);
        mCluster.startService("bookings-1", "klang-b");
        mCluster.awaitService();
    }

    @AfterEach
    void stopCluster() {
        mCluster.close();
    }

    /**
     * Guards against two forgetful majorities: a member that forgot its votes and log must not help
     * a single remembering voter to a quorum, or claims could be granted a second time.
     */
    @Test
    void voterWithoutItsDiskServesButNeverVotes() {
        int leader = mCluster.awaitLeader();
        int lost = (leader + 1) % LocalCluster.VOTERS;
        int other = (leader + 2) % LocalCluster.VOTERS;
        Caller.Answer first = Caller.post(mCluster.holdUrl(lost), "before", BODY);
        assertThat(first.status(), equalTo(200));
        mCluster.instance(lost).kill();
        mCluster.loseDisk(lost);
        mCluster.instance(lost).startAgain();
        mCluster.awaitReady(lost);
        assertThat(Caller.post(mCluster.holdUrl(lost), "before", BODY), equalTo(first));

        mCluster.instance(other).kill();
        Waiting.until(
                "the last remembering voter has no quorum",
                () -> Caller.status(mCluster.url(leader) + "/health/ready") == 503);
        for (int instance : new int[] {leader, lost, LocalCluster.INSTANCES - 1}) {
            Caller.Answer refused = Caller.post(mCluster.holdUrl(instance), "alone", BODY);
            assertThat(refused.toString(), refused.status(), not(200));
        }
        assertThat(mCluster.executions("bookings-1").path("alone").asInt(), is(0));

        mCluster.instance(other).startAgain();
        mCluster.awaitAllReady();
        mCluster.awaitService();
        assertThat(Caller.post(mCluster.holdUrl(lost), "before", BODY), equalTo(first));
        assertThat(Caller.post(mCluster.holdUrl(lost), "after", BODY).status(), equalTo(200));
        assertThat(mCluster.executions("bookings-1").path("before").asInt(), is(1));
    }
}
