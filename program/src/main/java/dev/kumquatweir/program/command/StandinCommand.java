package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.standin.ReportSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Options that the stand-ins share. */
abstract class StandinCommand {
    private static final EventLog LOG = EventLog.of(StandinCommand.class);

    @Option(name = "--id", title = "NAME", description = "Name it announces itself under")
    @Required
    private String mId = "";

    @Option(name = "--listen", title = "IP:PORT", description = "Address it serves on")
    @Required
    private String mListen = "";

    @Option(name = "--domain", title = "NAME", description = "Failure domain it runs in")
    @Required
    private String mDomain = "";

    @Option(name = "--service", title = "NAME", description = "Service it belongs to")
    @Required
    private String mService = "";

    @Option(
            name = "--announce-to",
            title = "IP:PORT",
            description = "Upstream listener of an instance; may be given several times")
    @Required
    private List<String> mAnnounceTo = new ArrayList<>();

    @Option(name = "--announce-key", title = "KEY", description = "Key that instances expect")
    @Required
    private String mAnnounceKey = "";

    final String id() {
        return mId;
    }

    final String domain() {
        return mDomain;
    }

    final String service() {
        return mService;
    }

    final InetSocketAddress listen() {
        return address(mListen);
    }

    final ReportSettings reports() {
        List<InetSocketAddress> instances =
                mAnnounceTo.stream().map(StandinCommand::address).toList();
        int first = Math.floorMod(mId.hashCode(), instances.size());
        return ReportSettings.to(instances, mAnnounceKey).startingAt(first);
    }

    final int runUntilTerminated(AutoCloseable standin) throws InterruptedException {
        LOG.info("standin_started", "id", mId, "listen", mListen);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(standin, stopped), "shutdown"));
        stopped.await();
        return ExitStatus.SUCCESS.code();
    }

    private static void close(AutoCloseable standin, CountDownLatch stopped) {
        try {
            standin.close();
        } catch (Exception exception) {
            LOG.error("standin_close_failed", exception);
        } finally {
            stopped.countDown();
        }
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
