package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.standin.ReportSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Base class of the commands that run a stand-in upstream. */
abstract class StandinCommand {
    private static final EventLog LOG = EventLog.of(StandinCommand.class);

    @Option(name = "--id", title = "NAME", description = "Id of the upstream in its announcements")
    @Required
    private String mId = "";

    @Option(name = "--listen", title = "IP:PORT", description = "Address to listen on")
    @Required
    private String mListen = "";

    @Option(name = "--domain", title = "NAME", description = "Failure domain of the upstream")
    @Required
    private String mDomain = "";

    @Option(name = "--service", title = "NAME", description = "Service of the upstream")
    @Required
    private String mService = "";

    @Option(
            name = "--announce-to",
            title = "IP:PORT",
            description = "Upstream listener of an instance; may be given several times")
    @Required
    private List<String> mAnnounceTo = new ArrayList<>();

    @Option(name = "--announce-key", title = "KEY", description = "Key that the instances require")
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
        return parseAddress(mListen);
    }

    final ReportSettings reportSettings() {
        List<InetSocketAddress> instances =
                mAnnounceTo.stream().map(StandinCommand::parseAddress).toList();
        int firstIndex = Math.floorMod(mId.hashCode(), instances.size());
        return ReportSettings.to(instances, mAnnounceKey).startingAt(firstIndex);
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

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
