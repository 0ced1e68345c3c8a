import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, one line each with its time in seconds. */
final class Records implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Records(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Returns the time since the start of the case, in milliseconds. */
  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String who, String what) {
    out.printf(Locale.ROOT, "%8.3f %-10s %s%n", nowMs() / 1000.0, who, what);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
