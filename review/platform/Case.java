package review;

import java.io.IOException;
import java.nio.file.Path;

/** Runs one case and turns its result into an exit status. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 112_000;

    /** Whether the disruption takes place; without it the case must pass. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    abstract int run(Fleet fleet, Journal journal) throws Exception;

    /** Runs the case with two entry instances; {@code folder} receives the record. */
    final void main(String folder) throws IOException {
        Journal journal = new Journal(Path.of(folder, "record.txt"));
        Fleet fleet = new Fleet(journal, 2);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(LIMIT_MILLIS);
                            } catch (InterruptedException interrupted) {
                                return;
                            }
                            journal.add("result: not run, out of time");
                            System.exit(NOT_RUN);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        int result;
        try {
            fleet.start();
            result = run(fleet, journal);
        } catch (Exception fault) {
            journal.add("result: not run: " + fault);
            result = NOT_RUN;
        }
        journal.add("exit status " + result);
        System.out.println(folder + ": exit status " + result);
        System.exit(result);
    }
}
