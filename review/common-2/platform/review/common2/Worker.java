package review.common2;

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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker: listens, checks in with the control instances, refuses requests that are meant for
 * another worker with 421, and passes the others to the handler of the case.
 */
public final class Worker implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final long CHECK_IN_MILLIS = 1_200;

    /** Answers a request. */
    public interface Handler {
        /** Handles a request; the connection is closed after an exception. */
        void handle(Call call) throws IOException;
    }

    /** One request at a worker. */
    public record Call(
            Worker worker,
            Wire.Head head,
            byte[] body,
            InputStream input,
            OutputStream output,
            Socket socket) {
        /** Returns the id of the client attempt. */
        public String attempt() {
            return head.field("X-Attempt-Id");
        }

        /** Writes text. */
        public void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        /** Returns the fields that belong to each answer of a request that has run. */
        public String fields() {
            return "X-Attempt-Id: "
                    + attempt()
                    + "\r\nX-Response-Signature: "
                    + worker.mId
                    + "."
                    + attempt()
                    + "\r\nX-Instance-Load: 1,0,11\r\n";
        }

        /** Sends a whole answer with a length. */
        public void answer(String body) throws IOException {
            write(
                    "HTTP/1.1 200 OK\r\n"
                            + fields()
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }

        /** Refuses the request as not run. */
        public void refuse(int status, String moreFields) throws IOException {
            write(
                    "HTTP/1.1 "
                            + status
                            + " no\r\nX-Attempt-Id: "
                            + attempt()
                            + "\r\nX-Not-Executed: 1\r\n"
                            + moreFields
                            + "Content-Length: 0\r\n\r\n");
        }
    }

    private final String mId;
    private final String mService;
    private final InetSocketAddress mAddress;
    private final List<InetSocketAddress> mControl;
    private final Handler mHandler;
    private final ServerSocket mListener;
    private final long mBornMillis = System.currentTimeMillis();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private volatile String mState = "ready";
    private volatile boolean mClosed;
    private volatile boolean mCheckingIn = true;
    private long mSequence;

    /** Listens and starts to check in. */
    public Worker(
            String id,
            String service,
            InetSocketAddress address,
            List<InetSocketAddress> control,
            Handler handler)
            throws IOException {
        mId = id;
        mService = service;
        mAddress = address;
        mControl = control;
        mHandler = handler;
        mListener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::checkIn);
    }

    /** Returns the id. */
    public String id() {
        return mId;
    }

    /** Sets what the next check-ins say, and whether there are any. */
    public void setState(String state, boolean checkingIn) {
        mState = state;
        mCheckingIn = checkingIn;
    }

    /** Sends one check-in now; returns the status of the confirmation, 0 if there was none. */
    public synchronized int checkInOnce(InetSocketAddress control, String state) {
        mSequence++;
        return send(control, state, mSequence);
    }

    private int send(InetSocketAddress control, String state, long sequence) {
        String body =
                ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"availability_zone\":\"klang-a\","
                                + "\"version\":\"v1\",\"capacity_slots\":11,\"state\":\"%s\","
                                + "\"cold_remaining_ms\":0,\"born\":%d,"
                                + "\"inference_stage\":\"colocated\",\"sequence_number\":%d,"
                                + "\"model_list\":[{\"name\":\"m\",\"version\":1,"
                                + "\"adapter_list\":[]}]}")
                        .formatted(
                                mService,
                                mAddress.getAddress().getHostAddress(),
                                mAddress.getPort(),
                                state,
                                mBornMillis,
                                sequence);
        try {
            return Wire.exchange(
                            control,
                            Wire.request(
                                    "POST /Workers.Heartbeat/" + mId,
                                    "control.example",
                                    List.of(),
                                    body),
                            1_000)
                    .status();
        } catch (IOException unavailable) {
            return 0;
        }
    }

    private void checkIn() {
        int next = Math.floorMod(mId.hashCode(), mControl.size());
        while (!mClosed) {
            for (int tries = 0; mCheckingIn && tries < mControl.size(); tries++) {
                if (checkInOnce(mControl.get(next), mState) == 200) {
                    break;
                }
                next = (next + 1) % mControl.size();
            }
            Fleet.pause(CHECK_IN_MILLIS);
        }
    }

    private void accept() {
        while (!mClosed) {
            try {
                Socket socket = mListener.accept();
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
            while (true) {
                Wire.Head head = Wire.readHead(input);
                if (head == null) {
                    return;
                }
                byte[] body = Wire.readBody(head, input);
                Call call = new Call(this, head, body, input, output, socket);
                if (head.start().startsWith("GET /healthz")) {
                    call.write(
                            "HTTP/1.1 200 OK\r\nX-Instance-Id: "
                                    + mId
                                    + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!head.field("X-Expected-Instance").equals(mId)) {
                    call.refuse(421, "");
                } else {
                    mHandler.handle(call);
                }
            }
        } catch (IOException ended) {
            // The other side or the case has closed the connection.
        } finally {
            mSockets.remove(socket);
        }
    }

    @Override
    public void close() {
        mClosed = true;
        try {
            mListener.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
        } catch (IOException ignored) {
            // The case ends.
        }
    }

    /** Returns an address for a worker. */
    public static InetSocketAddress address(String host) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(host), 8080);
    }
}
