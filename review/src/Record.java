import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file record.txt of a case: what was sent, answered and run, with seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void write(String text) {
        out.printf("%8.3f  %s%n", seconds(), text);
        out.flush();
    }
}
