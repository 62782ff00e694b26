package dev.kumquatweir.program.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.storage.DiskFolder;
import dev.kumquatweir.storage.FileLogStore;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a group that is never created: its first voter was killed, or its disk was full,
 * between the hard state and the initial snapshot, and all others took it for a member of a group.
 */
final class InterruptedFoundingTest {
    private final Path mFolder;

    InterruptedFoundingTest(@TempDir Path folder) {
        mFolder = folder;
    }

    @Test
    void storeWithoutItsInitialSnapshotIsReportedAsEmpty() throws IOException {
        assertThat(reportAfter(new HardState(SnapshotImage.FOUNDING_TERM, "")).empty(), is(true));
    }

    /** Guards against a second group, created by a voter that took part in the first one. */
    @Test
    void storeOfVoterThatTookPartInElectionIsNotEmpty() throws IOException {
        HardState later = new HardState(SnapshotImage.FOUNDING_TERM + 1, "");
        assertThat(reportAfter(later).empty(), is(false));
    }

    @Test
    void storeWithVoteIsNotEmpty() throws IOException {
        HardState voted = new HardState(SnapshotImage.FOUNDING_TERM, "other");
        assertThat(reportAfter(voted).empty(), is(false));
    }

    private GroupBootstrap.StoreReport reportAfter(HardState written) throws IOException {
        FileLogStore store = new FileLogStore(DiskFolder.open(mFolder));
        store.load().get();
        StorageWrite hardStateOnly =
                new StorageWrite(
                        1,
                        Optional.of(written),
                        Optional.empty(),
                        StorageWrite.NO_INDEX,
                        List.of(),
                        StorageWrite.NO_INDEX);
        store.write(List.of(hardStateOnly)).get();
        store.close();
        FileLogStore next = new FileLogStore(DiskFolder.open(mFolder));
        StoredState stored = next.load().get();
        next.close();
        return GroupBootstrap.StoreReport.of(new MemberId("self", stored.storeId()), stored, true);
    }
}
