package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A worker of a plain service. Runs each request for a fixed time and echoes its id. */
class Worker implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 1_200;
    private static final int SLOTS = 6;

    /** A request that reached this worker and was not answered with 421. */
    record Arrival(String attemptId, long atMillis) {}

    final String id;
    private final Journal mJournal;
    private final String mService;
    private final String mZone;
    private final ServerSocket mServer;
    private final long mBornMillis = System.currentTimeMillis();
    /** How long a request runs; 220 ms is the longest of the sheet's plain calls. */
    volatile int workMillis = 40;

    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> mSockets = new ConcurrentLinkedQueue<>();
    private final InetSocketAddress mAddress;
    private final List<InetSocketAddress> mControl;
    private volatile boolean mStopped;
    private volatile boolean mSilent;
    private volatile long mLastConfirmedMillis;
    private long mSequence;

    Worker(
            Journal journal,
            String id,
            String service,
            String zone,
            String ip,
            List<InetSocketAddress> control)
            throws IOException {
        this(journal, id, service, zone, new InetSocketAddress(ip, 0), control);
    }

    Worker(
            Journal journal,
            String id,
            String service,
            String zone,
            InetSocketAddress address,
            List<InetSocketAddress> control)
            throws IOException {
        mJournal = journal;
        this.id = id;
        mService = service;
        mZone = zone;
        mControl = control;
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(address, 200);
        mAddress = (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    void start() {
        mJournal.add("worker " + id + " in " + mZone + " at " + address());
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::sendHeartbeats);
    }

    String address() {
        return mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
    }

    /** Returns when a check-in was last confirmed, in milliseconds of the journal. */
    long lastConfirmedMillis() {
        return mLastConfirmedMillis;
    }

    /** Says that it leaves, to one node after the other; returns when that was confirmed. */
    long deregister(List<InetSocketAddress> nodes, int limitMillis) throws InterruptedException {
        mSilent = true;
        long untilMillis = mJournal.nowMillis() + limitMillis;
        for (int place = 0; mJournal.nowMillis() < untilMillis; place++) {
            InetSocketAddress node = nodes.get(place % nodes.size());
            String body = "{\"born\":" + mBornMillis + "}";
            if (confirmed(node, "/Workers.Deregister/" + id, body)) {
                mJournal.add("worker " + id + " leaves, confirmed by " + node);
                return mJournal.nowMillis();
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("no confirmation that " + id + " leaves");
    }

    /** Ends at once, as a crashed process: nothing is sent any more and all channels are reset. */
    final void crash() throws IOException {
        mStopped = true;
        mServer.close();
        for (Socket socket : mSockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    final InetSocketAddress socketAddress() {
        return mAddress;
    }

    /** Writes the answer to a request that is run. */
    void run(Http.Message request, OutputStream output) throws IOException, InterruptedException {
        Thread.sleep(workMillis);
        respond(output, 200, Map.of(), request, "done " + request.header("X-Attempt-Id"));
    }

    final void respond(
            OutputStream output,
            int status,
            Map<String, String> headers,
            Http.Message request,
            String body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        head.append("X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\n");
        if (status == 200) {
            head.append("X-Response-Signature: " + signature(request) + "\r\n");
        }
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length() + "\r\n\r\n" + body);
        output.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    final String signature(Http.Message request) {
        return id + "." + request.header("X-Attempt-Id");
    }

    final Journal journal() {
        return mJournal;
    }

    private void accept() {
        while (!mStopped) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (!mStopped) {
                Http.Message request = Http.read(input);
                if (request.start().startsWith("GET /healthz")) {
                    respond(output, 200, Map.of("X-Instance-Id", id), request, "");
                } else if (!request.header("X-Expected-Instance").equals(id)) {
                    respond(output, 421, Map.of("X-Not-Executed", "1"), request, "");
                } else {
                    arrivals.add(
                            new Arrival(request.header("X-Attempt-Id"), mJournal.nowMillis()));
                    run(request, output);
                }
            }
        } catch (IOException closed) {
            // The caller has closed the channel.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            mSockets.remove(socket);
        }
    }

    private void sendHeartbeats() {
        while (!mStopped && !mSilent) {
            mSequence++;
            String body =
                    """
                    {"service":"%s","address":"%s","availability_zone":"%s","version":"v1",\
                    "capacity_slots":%d,"state":"ready","cold_remaining_ms":0,"born":%d,\
                    "sequence_number":%d}"""
                            .formatted(mService, address(), mZone, SLOTS, mBornMillis, mSequence);
            for (InetSocketAddress node : mControl) {
                if (mSilent || confirmed(node, "/Workers.Heartbeat/" + id, body)) {
                    mLastConfirmedMillis = mJournal.nowMillis();
                    break;
                }
            }
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private boolean confirmed(InetSocketAddress node, String path, String body) {
        try {
            Map<String, String> headers =
                    Map.of("Host", "control", "Content-Type", "application/json");
            return Http.call(node, "POST", path, headers, body, 1_000).status() == 200;
        } catch (IOException noAnswer) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        mStopped = true;
        mServer.close();
    }
}
