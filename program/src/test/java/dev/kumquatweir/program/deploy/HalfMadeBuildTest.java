package dev.kumquatweir.program.deploy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs {@code deploy/make-runtime} with a small jar over folders that an earlier build left. */
class HalfMadeBuildTest {
    private static final Path SCRIPT = Path.of("..", "deploy", "make-runtime").toAbsolutePath();
    private static final String HOME = System.getProperty("java.home");
    private static final long LIMIT_SECONDS = 300;

    @TempDir static Path sWhole;
    @TempDir Path mFolder;
    private Path mTarget;

    @BeforeAll
    static void makeOnce() throws IOException {
        writeJar(sWhole.resolve("small.jar"));
        assertThat(end(make(sWhole, sWhole.resolve("target"), "0")), is(0));
    }

    @BeforeEach
    void copyWhole() throws IOException {
        mTarget = mFolder.resolve("target");
        assertThat(
                end(launch("cp", "-a", sWhole.resolve("target").toString(), mTarget.toString())),
                is(0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"lib/libjli.so", "lib/libjava.so", "lib/modules", "conf", "bin/java"})
    void runtimeWithoutOneOfItsFilesIsMadeAnew(String missing) throws IOException {
        delete(mTarget.resolve("runtime").resolve(missing));
        assertThat(end(make(sWhole, mTarget, "0")), is(0));
        assertThat(Files.exists(mTarget.resolve("runtime").resolve(missing)), is(true));
        assertFits();
    }

    @ParameterizedTest
    @ValueSource(strings = {"lib/modules", "lib/libnet.so", "lib/server/classes.jsa"})
    void runtimeWithAnIncompleteFileIsMadeAnew(String name) throws IOException {
        Path file = mTarget.resolve("runtime").resolve(name);
        byte[] whole = Files.readAllBytes(file);
        assertThat(file.toFile().setWritable(true), is(true));
        Files.write(file, new byte[whole.length / 2]);
        assertThat(end(make(sWhole, mTarget, "0")), is(0));
        assertThat(Files.size(file), is((long) whole.length));
        assertFits();
    }

    @Test
    void runtimeOfAnotherMachineIsMadeAnew() throws IOException {
        Path java = mTarget.resolve("runtime/bin/java");
        Files.writeString(java, "#!/bin/sh\nexit 126\n");
        assertThat(end(make(sWhole, mTarget, "0")), is(0));
        assertFits();
    }

    @Test
    void wholeRuntimeIsKept() throws IOException {
        Object before = Files.getAttribute(mTarget.resolve("runtime"), "unix:ino");
        assertThat(end(make(sWhole, mTarget, "0")), is(0));
        assertThat(Files.getAttribute(mTarget.resolve("runtime"), "unix:ino"), equalTo(before));
        assertFits();
    }

    @Test
    void failedBuildLeavesWhatWasThere() throws IOException {
        assertThat(end(make(sWhole, mTarget, "7")), is(not(0)));
        assertFits();
    }

    @Test
    void brokenJarLeavesWhatWasThere() throws IOException {
        Path source = Files.createDirectory(mFolder.resolve("source"));
        Files.write(source.resolve("small.jar"), List.of());
        assertThat(end(make(source, mTarget, "0")), is(not(0)));
        assertFits();
    }

    @Test
    void endedBuildLeavesWhatWasThere() throws IOException, InterruptedException {
        for (int delayMillis = 100; delayMillis <= 1500; delayMillis += 200) {
            Process build = make(sWhole, mTarget, "0");
            Thread.sleep(delayMillis);
            List<ProcessHandle> children = build.descendants().toList();
            build.destroyForcibly();
            children.forEach(ProcessHandle::destroyForcibly);
            assertThat(end(build) >= 0, is(true));
            assertStarts();
        }
        assertThat(end(make(sWhole, mTarget, "0")), is(0));
        assertFits();
    }

    @Test
    void jarAndArchiveAreThereThroughoutBuild() throws IOException {
        Process build = make(sWhole, mTarget, "0");
        int missing = 0;
        while (build.isAlive()) {
            missing += Files.exists(mTarget.resolve("kumquatweir.jsa")) ? 0 : 1;
            missing += Files.exists(mTarget.resolve("kumquatweir.jar")) ? 0 : 1;
        }
        assertThat(end(build), is(0));
        assertThat(missing, is(0));
        assertFits();
    }

    @Test
    void buildsAtOnceDontMix() throws IOException {
        delete(mTarget.resolve("runtime"));
        List<Process> builds = new ArrayList<>();
        for (int build = 0; build < 3; build++) {
            builds.add(make(sWhole, mTarget, "0"));
        }
        for (Process build : builds) {
            assertThat(end(build), is(0));
        }
        assertFits();
    }

    @Test
    void runningProcessSurvivesBuildBesideIt() throws IOException, InterruptedException {
        Path running = mFolder.resolve("running");
        Process process = run("-Xshare:auto", "wait", running.toString());
        while (!Files.exists(running) && process.isAlive()) {
            Thread.sleep(20);
        }
        delete(mTarget.resolve("runtime/lib/libjava.so"));
        assertThat(end(make(sWhole, mTarget, "0")), is(0));
        Files.delete(running);
        assertThat(end(process), is(0));
        assertFits();
    }

    // Helpers.

    /** Runs the program with {@code -Xshare:on}, which fails unless the archive fits. */
    private void assertFits() throws IOException {
        assertThat(end(run("-Xshare:on", "end", "0")), is(0));
    }

    private void assertStarts() throws IOException {
        assertThat(end(run("-Xshare:auto", "end", "0")), is(0));
    }

    private Process run(String share, String action, String argument) throws IOException {
        return launch(
                mTarget.resolve("runtime/bin/java").toString(),
                share,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:SharedArchiveFile=" + mTarget.resolve("kumquatweir.jsa"),
                "--sun-misc-unsafe-memory-access=allow",
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                "-jar",
                mTarget.resolve("kumquatweir.jar").toString(),
                action,
                argument);
    }

    private static Process make(Path source, Path target, String status) throws IOException {
        return launch(
                SCRIPT.toString(),
                HOME,
                source.resolve("small.jar").toString(),
                target.toString(),
                "end",
                status);
    }

    private static Process launch(String... command) throws IOException {
        return new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
    }

    private static int end(Process process) {
        try {
            if (!process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                throw new AssertionError("still running");
            }
            return process.exitValue();
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    private static void delete(Path path) throws IOException {
        try (Stream<Path> files = Files.walk(path)) {
            files.sorted(Comparator.reverseOrder()).forEach(HalfMadeBuildTest::deleteOne);
        }
    }

    private static void deleteOne(Path path) {
        try {
            Files.delete(path);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static void writeJar(Path jar) throws IOException {
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, SmallProgram.class.getName());
        String entry = SmallProgram.class.getName().replace('.', '/') + ".class";
        try (JarOutputStream output = new JarOutputStream(Files.newOutputStream(jar), manifest);
                InputStream content =
                        Objects.requireNonNull(
                                SmallProgram.class.getClassLoader().getResourceAsStream(entry))) {
            output.putNextEntry(new JarEntry(entry));
            content.transferTo(output);
        }
    }
}
