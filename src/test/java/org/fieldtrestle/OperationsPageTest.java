package org.fieldtrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that docs/operations.md documents every log event at info and above, and no others. */
class OperationsPageTest {
  private static final Path SOURCES = Path.of("src/main/java");
  private static final Path PAGE = Path.of("docs/operations.md");

  /** Captures the argument of {@code log()} in a logging statement at info or above. */
  private static final Pattern EVENT =
      Pattern.compile("LOG\\s*\\.at(?:Info|Warn|Error)\\(\\)[^;]*?\\.log\\(([^;]*)\\);");

  private static final Pattern LITERAL = Pattern.compile("\"([^\"]+)\"");

  /** The shard leader passes some event texts to its method {@code logLeadership}. */
  private static final Pattern EVENT_BY_ARGUMENT =
      Pattern.compile("logLeadership\\((\"[^\"]*\")\\);");

  private static final Pattern UNSTRUCTURED = Pattern.compile("LOG\\s*\\.(info|warn|error)\\(");

  private static final Pattern TABLE_ROW =
      Pattern.compile("(?m)^\\| (?:info|warn|error) \\| ([^|]+) \\|");

  private static final Pattern CODE = Pattern.compile("`([^`]+)`");

  @Test
  void pageDocumentsExactlyTheLoggedEvents() throws IOException {
    assertEquals(documentedEvents(), loggedEvents());
  }

  @Test
  void everyEventIsStructured() throws IOException {
    for (String source : sources()) {
      assertFalse(UNSTRUCTURED.matcher(source).find(), source);
    }
  }

  private static Set<String> loggedEvents() throws IOException {
    Set<String> events = new TreeSet<>();
    for (String source : sources()) {
      for (Pattern pattern : List.of(EVENT, EVENT_BY_ARGUMENT)) {
        for (MatchResult statement : pattern.matcher(source).results().toList()) {
          events.addAll(groups(LITERAL, statement.group(1)));
        }
      }
    }
    return events;
  }

  private static Set<String> documentedEvents() throws IOException {
    Set<String> events = new TreeSet<>();
    for (String cell : groups(TABLE_ROW, Files.readString(PAGE))) {
      events.addAll(groups(CODE, cell));
    }
    return events;
  }

  private static List<String> groups(Pattern pattern, String text) {
    return pattern.matcher(text).results().map(found -> found.group(1)).toList();
  }

  private static List<String> sources() throws IOException {
    List<String> sources = new ArrayList<>();
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        sources.add(Files.readString(file));
      }
    }
    return sources;
  }
}
