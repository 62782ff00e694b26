package review;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each worker that begins to run it, and comes again. The leader among the core
 * machines is killed and started again, twice. Counts the runs of that request after it has crashed
 * the third worker.
 */
public final class CrashingRequest extends Case {
    private static final String CRASHING_BODY = "{\"crash\":true}";
    private static final int CONTACT_MILLIS = 3_000;

    /** The rule is broken by more than three. */
    private static final int ALLOWED_RETRIES = 3;

    private static final int WORKER_DOWN_MILLIS = 2_000;
    private static final int LEADER_DOWN_MILLIS = 1_000;
    private static final int LEADER_KILLS = 2;

    /** The request comes so often after the start and after each kill. */
    private static final int ATTEMPTS = 4;

    private final Queue<Long> mRuns = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mWorkers = new AtomicInteger();

    public static void main(String[] arguments) throws IOException {
        new CrashingRequest().main(arguments[0]);
    }

    @Override
    int run(Fleet fleet, Journal journal) throws Exception {
        List<InetSocketAddress> control = fleet.controlAddresses();
        new Operator(journal)
                .order("/Configuration.Replace", Site.configuration(1), control, 30_000);
        String[] zones = {"klang-a", "klang-b", "klang-c"};
        for (int number = 0; number < zones.length; number++) {
            InetSocketAddress address =
                    new InetSocketAddress(fleet.address(41 + number), 0);
            new Crashing(journal, zones[number], address, control).start();
        }
        if (!fleet.awaitReady(30_000)) {
            return NOT_RUN;
        }
        Clients clients = new Clients(journal);
        for (Fleet.Node entry : fleet.entries) {
            clients.start(entry.callers(), Site.HOLD + "1", 100);
        }
        Thread.sleep(6_000);
        come(fleet, journal, 0);
        if (mRuns.size() < 3) {
            journal.add("result: not run, only " + mRuns.size() + " runs");
            return NOT_RUN;
        }
        for (int kill = 0; kill < LEADER_KILLS; kill++) {
            Fleet.Node leader = fleet.leader();
            journal.add("leader " + leader.name);
            if (trouble) {
                leader.kill();
                Thread.sleep(LEADER_DOWN_MILLIS);
                leader.start(false);
            }
            Thread.sleep(2 * CONTACT_MILLIS);
            come(fleet, journal, kill + 1);
        }
        clients.close();
        List<Long> runs = List.copyOf(mRuns);
        long retries = runs.stream().filter(run -> run > runs.get(2) + CONTACT_MILLIS).count();
        journal.add("runs at " + runs + ": " + retries + " retries after the third crash");
        return clients.count(200) == 0 ? NOT_RUN : retries > ALLOWED_RETRIES ? BROKEN : HELD;
    }

    /** The same caller sends the request again and again, to one entry machine after the other. */
    private void come(Fleet fleet, Journal journal, int round) throws InterruptedException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            String id = "%016x".formatted(0xdead0000L + 16 * round + attempt);
            Fleet.Node entry = fleet.entries.get(attempt % fleet.entries.size());
            try {
                Map<String, String> headers = Site.headers(id);
                int status =
                        Http.call(
                                        entry.callers(),
                                        "POST",
                                        Site.READ + "crash",
                                        headers,
                                        CRASHING_BODY,
                                        2_000)
                                .status();
                journal.add("crashing request " + id + " got " + status);
            } catch (IOException noAnswer) {
                journal.add("crashing request " + id + " got no answer");
            }
            Thread.sleep(WORKER_DOWN_MILLIS + 1_000);
        }
    }

    /** A worker that the request crashes. It is back after some seconds, with another id. */
    private final class Crashing extends Worker {
        private final Journal mJournal;
        private final String mZone;
        private final List<InetSocketAddress> mControl;

        Crashing(
                Journal journal,
                String zone,
                InetSocketAddress address,
                List<InetSocketAddress> control)
                throws IOException {
            super(
                    journal,
                    "i-worker" + mWorkers.incrementAndGet(),
                    Site.SERVICE,
                    zone,
                    address,
                    control);
            mJournal = journal;
            mZone = zone;
            mControl = control;
        }

        @Override
        void run(Http.Message request, OutputStream output)
                throws IOException, InterruptedException {
            if (!request.text().equals(CRASHING_BODY)) {
                super.run(request, output);
                return;
            }
            mRuns.add(mJournal.nowMillis());
            mJournal.add("worker " + id + " crashes on " + request.header("X-Attempt-Id"));
            InetSocketAddress address = socketAddress();
            Thread.ofVirtual().start(() -> startAgain(address));
            crash();
        }

        private void startAgain(InetSocketAddress address) {
            try {
                Thread.sleep(WORKER_DOWN_MILLIS);
                new Crashing(mJournal, mZone, address, mControl).start();
            } catch (IOException fault) {
                throw new UncheckedIOException(fault);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
