package org.fieldtrestle.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Files under {@code compatibility/} in the test resources, written by the sources of 2026-12-02:
 * each line is the name of a case, a space, and what that version wrote. The present code must read
 * and write exactly the same, as a cluster is upgraded one controller at a time.
 */
public final class CompatibilityFixture {
  private CompatibilityFixture() {}

  /**
   * Reads the cases of one file in its order, by name.
   *
   * @throws IOException if the file cannot be read
   */
  public static Map<String, String> read(String file) throws IOException {
    try (InputStream in =
        CompatibilityFixture.class.getResourceAsStream("/compatibility/" + file)) {
      Map<String, String> cases = new LinkedHashMap<>();
      new String(in.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .forEach(
              line -> {
                int space = line.indexOf(' ');
                cases.put(line.substring(0, space), line.substring(space + 1));
              });
      return cases;
    }
  }
}
