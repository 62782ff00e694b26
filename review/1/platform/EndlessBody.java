package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One worker answers a call with bytes that do not end. Counts the requests from kept channels that
 * were passed on to the sound workers and whose channel was closed without an answer.
 */
public final class EndlessBody extends Case {
    private static final String[] ZONES = {"klang-a", "klang-b", "klang-c"};
    private static final int ROUNDS = 2;
    private static final int CLIENTS_OF_EACH_ENTRY = 16;

    /** Under the 1,000 Mbit/s of the smallest link of an entry machine. */
    private static final int BYTES_PER_MILLI = 100_000;

    private final AtomicInteger mEndlessAnswers = new AtomicInteger();

    public static void main(String[] arguments) throws IOException {
        new EndlessBody().main(arguments[0]);
    }

    @Override
    int run(Fleet fleet, Journal journal) throws Exception {
        List<InetSocketAddress> control = fleet.controlAddresses();
        new Operator(journal)
                .order("/Configuration.Replace", Site.configuration(1), control, 30_000);
        List<Worker> sound = new ArrayList<>();
        for (int number = 1; number <= ZONES.length; number++) {
            sound.add(
                    new Worker(
                            journal,
                            "i-sound" + number,
                            Site.SERVICE,
                            ZONES[number - 1],
                            fleet.address(40 + number),
                            control));
        }
        Worker troubled = new Troubled(journal, fleet.address(49), control);
        sound.forEach(Worker::start);
        troubled.start();
        if (!fleet.awaitReady(30_000)) {
            return NOT_RUN;
        }
        Clients clients = new Clients(journal);
        for (Fleet.Node entry : fleet.entries) {
            for (int number = 0; number < CLIENTS_OF_EACH_ENTRY; number++) {
                String path = (number % 4 == 0 ? Site.READ : Site.HOLD) + "1";
                clients.start(entry.callers(), path, 40);
            }
        }
        Thread.sleep(6_000);
        for (int round = 0; round < ROUNDS; round++) {
            mEndlessAnswers.set(trouble ? 1 : 0);
            fleet.watchEntries(6_000);
        }
        clients.close();
        return LostRequests.judge(clients, sound, journal);
    }

    /** A worker that can answer one request with a body that has no end. */
    private final class Troubled extends Worker {
        Troubled(Journal journal, String ip, List<InetSocketAddress> control) throws IOException {
            super(journal, "i-troubled", Site.SERVICE, "klang-c", ip, control);
        }

        @Override
        void run(Http.Message request, OutputStream output)
                throws IOException, InterruptedException {
            if (mEndlessAnswers.getAndDecrement() <= 0) {
                super.run(request, output);
                return;
            }
            String head =
                    Stream.of(
                                    "HTTP/1.1 200 OK",
                                    "X-Attempt-Id: " + request.header("X-Attempt-Id"),
                                    "X-Response-Signature: " + signature(request))
                            .collect(Collectors.joining("\r\n", "", "\r\n\r\n"));
            output.write(head.getBytes(StandardCharsets.ISO_8859_1));
            byte[] part = new byte[10 * BYTES_PER_MILLI];
            long startNanos = System.nanoTime();
            long sent = 0;
            journal().add("worker begins an answer without end to " + request.start());
            try {
                while (true) {
                    output.write(part);
                    sent += part.length;
                    long dueNanos = startNanos + sent / BYTES_PER_MILLI * 1_000_000;
                    Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
                }
            } finally {
                journal().add("the caller closed after " + sent + " bytes");
            }
        }
    }
}
