package org.fieldtrestle.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reads the files under {@code compatibility/} in the test resources, which the sources of
 * 2026-12-02 wrote. Each line consists of the name of a case, a space and the text that these
 * sources wrote. The current code must read and write exactly the same texts, because a cluster is
 * upgraded one controller at a time.
 */
public final class CompatibilityFixture {
  private CompatibilityFixture() {}

  /**
   * Returns the texts of one file by the names of their cases, in the order of the file.
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
