package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** The operator: sends an order to one node after the other until one of them confirms it. */
final class Operator {
    /** A node that has not answered within this time is given up, and the next one is called. */
    private static final int ANSWER_MILLIS = 1_000;

    private final Journal mJournal;

    Operator(Journal journal) {
        mJournal = journal;
    }

    /** Sends an order; returns when it was confirmed, in milliseconds of the journal. */
    long order(String path, String body, List<InetSocketAddress> nodes, int limitMillis)
            throws InterruptedException {
        long untilMillis = mJournal.nowMillis() + limitMillis;
        int pauseMillis = 50;
        for (int place = 0; mJournal.nowMillis() < untilMillis; place++) {
            InetSocketAddress node = nodes.get(place % nodes.size());
            mJournal.add("operator sends " + path + " to " + node);
            try {
                Map<String, String> headers =
                        Map.of("Host", "control", "Content-Type", "application/json");
                int status = Http.call(node, "POST", path, headers, body, ANSWER_MILLIS).status();
                mJournal.add("operator gets " + status + " for " + path + " from " + node);
                if (status == 200) {
                    return mJournal.nowMillis();
                }
            } catch (IOException noAnswer) {
                mJournal.add("operator gets no answer for " + path + " from " + node);
            }
            Thread.sleep(pauseMillis);
            pauseMillis *= 2;
        }
        throw new IllegalStateException("no confirmation of " + path);
    }
}
