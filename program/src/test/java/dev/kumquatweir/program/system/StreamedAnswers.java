package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Answers that stream at the same time through the instances of a cluster, and their checks. */
final class StreamedAnswers {
    private static final long BEGIN_SECONDS = 90;
    private static final long END_SECONDS = 150;

    private final LocalCluster mCluster;
    private final String mName;
    private final int mTokens;
    private final List<CompletableFuture<Caller.Streamed>> mAnswers;

    private StreamedAnswers(LocalCluster cluster, String name, int count, int tokens)
            throws InterruptedException {
        mCluster = cluster;
        mName = name;
        mTokens = tokens;
        CountDownLatch begun = new CountDownLatch(count);
        mAnswers = IntStream.range(0, count).mapToObj(number -> stream(number, begun)).toList();
        assertThat(begun.await(BEGIN_SECONDS, TimeUnit.SECONDS), is(true));
    }

    /**
     * Starts streams through all instances in turn and waits until each has its first token.
     *
     * @param name part of each prompt, so that streams of two calls differ
     */
    static StreamedAnswers start(LocalCluster cluster, String name, int count, int tokens)
            throws InterruptedException {
        return new StreamedAnswers(cluster, name, count, tokens);
    }

    boolean done(int number) {
        return mAnswers.get(number).isDone();
    }

    void checkWhole(int number) {
        Caller.Streamed answer = answer(number);
        assertThat(answer.error(), emptyString());
        assertThat(answer.text(), equalTo(expected(number)));
        assertThat(answer.complete(), is(true));
    }

    void checkAllWhole() {
        IntStream.range(0, mAnswers.size()).forEach(this::checkWhole);
    }

    void checkWholeOrFailed() {
        for (int number = 0; number < mAnswers.size(); number++) {
            Caller.Streamed answer = answer(number);
            if (answer.complete()) {
                checkWhole(number);
            } else {
                assertThat(answer.error(), containsString("\"ran\":"));
                assertThat(expected(number), startsWith(answer.text()));
            }
        }
    }

    Caller.Streamed answer(int number) {
        return mAnswers.get(number).orTimeout(END_SECONDS, TimeUnit.SECONDS).join();
    }

    String expected(int number) {
        return Caller.expected(prompt(number), mTokens);
    }

    private CompletableFuture<Caller.Streamed> stream(int number, CountDownLatch begun) {
        boolean[] counted = new boolean[1];
        return Caller.streamLater(
                mCluster.url(number % LocalCluster.INSTANCES),
                "quick",
                prompt(number),
                mTokens,
                text -> {
                    if (!counted[0]) {
                        counted[0] = true;
                        begun.countDown();
                    }
                });
    }

    private String prompt(int number) {
        return "stream " + mName + " " + number;
    }
}
