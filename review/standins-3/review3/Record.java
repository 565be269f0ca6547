package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since its start. */
final class Record {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String format, Object... values) {
        out.printf("%8.3f  %s%n", (System.nanoTime() - startedAt) / 1e9, String.format(format, values));
        out.flush();
    }
}
