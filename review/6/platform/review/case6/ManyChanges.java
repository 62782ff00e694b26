package review.case6;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import review.common2.Config;
import review.common2.Fleet;
import review.common2.Record;

/**
 * The operator sends some hundred changes of a configuration with many routes, one after the other.
 * Processes that end are started again. At the end the newest acknowledged version is read back.
 */
public final class ManyChanges {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int CANNOT_RUN = 2;
    private static final int CONTROLS = 5;
    private static final long RESTART_MILLIS = 1_000;
    private static final long PLAY_MILLIS = 75_000;

    /** The operator reads for {@code contact_ms} at least, which is 3 s. */
    private static final long READ_MILLIS = 20_000;

    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    private final Fleet mFleet;
    private final int[] mEnds = new int[CONTROLS];
    private final long[] mEndedMillis = new long[CONTROLS];
    private long mAcknowledged;

    private ManyChanges(Fleet fleet) {
        mFleet = fleet;
    }

    /**
     * Plays the case.
     *
     * @param arguments root of the project, folder of the case, temporary folder, 1 with the
     *     disruption and 0 without, number of changes, routes of a large configuration
     */
    public static void main(String[] arguments) {
        try {
            System.exit(play(arguments));
        } catch (Exception problem) {
            System.err.println("cannot run: " + problem);
            Record.line("cannot run: %s", problem);
            System.exit(CANNOT_RUN);
        }
    }

    private static int play(String[] arguments) throws Exception {
        Record.open(Path.of(arguments[1], "record.txt"));
        Path folder = Files.createTempDirectory(Path.of(arguments[2]), "case6-");
        int changes = Integer.parseInt(arguments[4]);
        int routes = arguments[3].equals("0") ? 0 : Integer.parseInt(arguments[5]);
        int bytes = Config.version(100, routes).length();
        Record.line("changes=%d routes=%d bytes=%d", changes, routes, bytes);
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), folder, CONTROLS, 2)) {
            fleet.start(Config.version(7));
            return new ManyChanges(fleet).observe(changes, routes);
        }
    }

    private int observe(int changes, int routes) throws Exception {
        long untilMillis = Record.millis() + PLAY_MILLIS;
        int next = 0;
        long version = 100;
        for (int change = 0; change < changes && Record.millis() < untilMillis; change++) {
            version += 1 + change % 3;
            String document = Config.version(version, routes);
            boolean acknowledged = false;
            while (!acknowledged && Record.millis() < untilMillis) {
                restartEnded();
                int status = mFleet.put(document, next);
                acknowledged = status == 200;
                Record.line("sent version %d to core-%d answered %d", version, next, status);
                if (!acknowledged) {
                    next = (next + 1) % CONTROLS;
                    Fleet.pause(100);
                }
            }
            mAcknowledged = acknowledged ? version : mAcknowledged;
            if (change % 20 == 0) {
                recordMemory();
            }
        }
        return judge();
    }

    /** Starts processes again that have ended by themselves, as the platform does. */
    private void restartEnded() throws Exception {
        for (int number = 0; number < CONTROLS; number++) {
            if (mFleet.control(number).alive()) {
                mEndedMillis[number] = 0;
            } else if (mEndedMillis[number] == 0) {
                mEnds[number]++;
                mEndedMillis[number] = Record.millis();
                Record.line(
                        "core-%d has ended with status %d",
                        number, mFleet.control(number).exitStatus());
            } else if (Record.millis() - mEndedMillis[number] > RESTART_MILLIS) {
                mEndedMillis[number] = 0;
                mFleet.control(number).start(false);
            }
        }
    }

    private void recordMemory() {
        StringBuilder text = new StringBuilder();
        for (int number = 0; number < CONTROLS; number++) {
            text.append(' ').append(mFleet.control(number).residentMegabytes());
        }
        Record.line("resident_mb%s", text);
    }

    private int judge() throws Exception {
        long untilMillis = Record.millis() + READ_MILLIS;
        long readBack = 0;
        for (int number = 0; readBack < mAcknowledged && Record.millis() < untilMillis; number++) {
            restartEnded();
            String document = mFleet.read(number % CONTROLS);
            Matcher matcher = VERSION.matcher(document == null ? "" : document);
            readBack = matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
            Record.line("read from core-%d: version %d", number % CONTROLS, readBack);
            Fleet.pause(200);
        }
        int ends = 0;
        int endedThrice = 0;
        for (int count : mEnds) {
            ends += count;
            endedThrice += count >= 3 ? 1 : 0;
        }
        Record.line(
                "acknowledged=%d read_back=%d; processes ended %d times, %d of them three times",
                mAcknowledged, readBack, ends, endedThrice);
        // A tenth of the machines in use, two at least: seven are in use here.
        boolean fault = endedThrice >= 2;
        return fault || readBack < mAcknowledged ? BROKEN : HELD;
    }
}
