package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A core machine is frozen while the operator ends an evacuation, so that the order is confirmed by
 * another machine. The operator then evacuates the zone again. Counts the requests that reach the
 * zone's worker although that evacuation was confirmed and not taken back.
 */
public final class StaleEvacuationOrder extends Case {
    private static final String ZONE = "klang-a";
    private static final int FREEZE_MILLIS = 4_000;
    private static final int EVACUATION_MILLIS = 5_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int WATCH_MILLIS = 8_000;

    public static void main(String[] arguments) throws IOException {
        new StaleEvacuationOrder().main(arguments[0]);
    }

    @Override
    int run(Fleet fleet, Journal journal) throws Exception {
        List<InetSocketAddress> control = fleet.controlAddresses();
        Operator operator = new Operator(journal);
        operator.order("/Configuration.Replace", Site.configuration(1), control, 30_000);
        List<Worker> workers = new ArrayList<>();
        String[] zones = {ZONE, "klang-b", "klang-c"};
        for (int number = 0; number < zones.length; number++) {
            Worker worker =
                    new Worker(
                            journal,
                            "i-worker" + number,
                            Site.SERVICE,
                            zones[number],
                            fleet.address(41 + number),
                            control.subList(0, 3));
            worker.start();
            workers.add(worker);
        }
        if (!fleet.awaitReady(30_000)) {
            return NOT_RUN;
        }
        Clients clients = new Clients(journal);
        for (Fleet.Node entry : fleet.entries) {
            for (int number = 0; number < 4; number++) {
                clients.start(entry.callers(), Site.READ + "1", 50);
            }
        }
        Thread.sleep(6_000);
        operator.order("/Evacuation.Begin/" + ZONE, "", control, 4_000);
        Thread.sleep(6_000);

        Fleet.Node leader = fleet.leader();
        Fleet.Node frozen = fleet.control.get(fleet.control.get(4) == leader ? 3 : 4);
        Fleet.Node other = fleet.control.get(1);
        journal.add("leader " + leader.name);
        long frozenMillis = journal.nowMillis();
        if (trouble) {
            frozen.freeze();
        }
        List<InetSocketAddress> nodes = List.of(frozen.controlPlane(), other.controlPlane());
        operator.order("/Evacuation.Finish/" + ZONE, "", nodes, 4_000);
        Thread.sleep(500);
        long confirmedMillis =
                operator.order(
                        "/Evacuation.Begin/" + ZONE, "", List.of(other.controlPlane()), 4_000);
        Thread.sleep(Math.max(0, frozenMillis + FREEZE_MILLIS - journal.nowMillis()));
        if (trouble) {
            frozen.thaw();
        }
        long thawedMillis = journal.nowMillis();
        long fromMillis =
                Math.max(confirmedMillis + EVACUATION_MILLIS, thawedMillis + CONTACT_MILLIS);
        Thread.sleep(fromMillis + WATCH_MILLIS - journal.nowMillis());
        List<Worker.Arrival> late =
                workers.get(0).arrivals.stream()
                        .filter(arrival -> arrival.atMillis() > fromMillis)
                        .toList();
        late.forEach(arrival -> journal.add("reached the evacuated zone: " + arrival));
        journal.add(
                "evacuation confirmed at %d, thawed at %d; later than %d: %d requests in the zone"
                        .formatted(confirmedMillis, thawedMillis, fromMillis, late.size()));
        clients.close();
        return clients.count(200) == 0 ? NOT_RUN : late.isEmpty() ? HELD : BROKEN;
    }
}
