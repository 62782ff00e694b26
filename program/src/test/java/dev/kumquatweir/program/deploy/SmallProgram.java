package dev.kumquatweir.program.deploy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;

/** Program of the small jar that {@link HalfMadeBuildTest} runs from a runtime. */
final class SmallProgram {
    private SmallProgram() {}

    /**
     * Runs {@code end STATUS}, or {@code wait FILE}, which loads a native library of the runtime
     * once the file is gone.
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        if (arguments[0].equals("end")) {
            System.exit(Integer.parseInt(arguments[1]));
        }
        Path file = Path.of(arguments[1]);
        Files.writeString(file, "running");
        while (Files.exists(file)) {
            Thread.sleep(20);
        }
        new ServerSocket(0, 1, InetAddress.getLoopbackAddress()).close();
    }
}
