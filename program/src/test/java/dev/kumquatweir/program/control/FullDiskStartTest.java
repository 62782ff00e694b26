package dev.kumquatweir.program.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.settings.PeerSettings;
import dev.kumquatweir.storage.DiskFolder;
import dev.kumquatweir.storage.FileLogStore;
import dev.kumquatweir.transport.ClusterKey;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a control instance that ends again and again: its disk was lost, or the process
 * before still holds its folder, and the disk that it came back with is full.
 */
final class FullDiskStartTest {
    private static final InstanceId SELF = new InstanceId("127.0.0.1");

    /** Attempts of a start that fail before the reason has passed. */
    private static final int FAILED_ATTEMPTS = 3;

    private final Path mFolder;
    private final AtomicInteger mAttempts = new AtomicInteger();
    private final PeerNetwork mNetwork =
            PeerNetwork.builder(
                            SELF,
                            "cluster",
                            ClusterKey.of("key-of-the-start-test".getBytes(StandardCharsets.UTF_8)),
                            new InetSocketAddress(SELF.value(), 0))
                    .open()
                    .get();

    FullDiskStartTest(@TempDir Path folder) {
        mFolder = folder;
    }

    @AfterEach
    void closeNetwork() {
        mNetwork.close();
    }

    @Test
    void startWaitsForRoomOnTheDisk() {
        GroupBootstrapper.OpenedStore opened = start(new StorageFailure.DiskFull("hard-state.tmp"));

        assertThat(opened.state(), is(notNullValue()));
        opened.store().close();
    }

    @Test
    void startWaitsForFolderOfTheProcessBefore() {
        Failure locked = new StorageFailure.Unusable("folder", "another process uses it", true);
        GroupBootstrapper.OpenedStore opened = start(locked);

        assertThat(opened.state(), is(notNullValue()));
        opened.store().close();
    }

    @Test
    void damagedFolderEndsTheStart() {
        Failure damaged = new StorageFailure.Corrupted("hard-state", "missing file");

        FailureException thrown = assertThrows(FailureException.class, () -> start(damaged));
        assertThat(thrown.failure(), is(damaged));
    }

    private GroupBootstrapper.OpenedStore start(Failure failure) {
        InetSocketAddress address = new InetSocketAddress(SELF.value(), 1);
        PeerSettings self = new PeerSettings(SELF, address, new FailureDomain("a"), true);
        return new GroupBootstrapper(
                        SELF, List.of(self), mNetwork, () -> open(failure), Clocks.system(), false)
                .awaitGroup(() -> false)
                .orElseThrow();
    }

    private Either<Failure, LogStore> open(Failure failure) {
        if (mAttempts.incrementAndGet() <= FAILED_ATTEMPTS) {
            return Either.left(failure);
        }
        try {
            return Either.right(new FileLogStore(DiskFolder.open(mFolder)));
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }
}
