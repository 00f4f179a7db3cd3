package gullspar.rehearse.faults;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/** Makes system calls fail in processes started with {@link #environment}; at first none fails. */
public final class SystemCallFaults {
    private static final String SOURCE = "system-calls.c";

    private final Path library;
    private final Path control;
    private final MappedByteBuffer controlWords;

    private SystemCallFaults(Path library, Path control, MappedByteBuffer words) {
        this.library = library;
        this.control = control;
        this.controlWords = words;
    }

    /** Builds the library in that folder with the system's C compiler; the message of an IOException has its output. */
    public static SystemCallFaults buildIn(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream in = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source);
        }
        Path library = folder.resolve("system-calls.so");
        compile(source, library, folder.resolve("cc.log"));
        Path control = folder.resolve("faults");
        Files.write(control, new byte[SystemCall.values().length * Integer.BYTES]);
        try (FileChannel file = FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer words = file.map(FileChannel.MapMode.READ_WRITE, 0, file.size());
            words.order(ByteOrder.nativeOrder());
            return new SystemCallFaults(library, control, words);
        }
    }

    private static void compile(Path source, Path library, Path log) throws IOException, InterruptedException {
        Process compiler;
        try {
            compiler = new ProcessBuilder(
                            "cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(), "-ldl")
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
        } catch (IOException e) {
            throw new IOException("cannot run the C compiler 'cc', which is needed to make system calls fail", e);
        }
        if (compiler.waitFor() != 0) {
            throw new IOException("compiling the library for system call faults failed: " + Files.readString(log));
        }
    }

    /** The environment variables for a process whose calls are to fail. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "GULLSPAR_FAULTS", control.toString());
    }

    /** Makes each such call fail from now on. */
    public void failAll(SystemCall call, ErrorNumber error) {
        failOneIn(1, call, error);
    }

    /** Makes one in that many such calls fail from now on. */
    public void failOneIn(int calls, SystemCall call, ErrorNumber error) {
        controlWords.putInt(call.ordinal() * Integer.BYTES, calls << Short.SIZE | error.number);
    }

    /** Lets such calls succeed again. */
    public void restore(SystemCall call) {
        controlWords.putInt(call.ordinal() * Integer.BYTES, 0);
    }
}
