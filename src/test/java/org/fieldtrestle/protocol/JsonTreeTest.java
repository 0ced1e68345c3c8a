package org.fieldtrestle.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Trees are read and written in the same way as by Jackson's own {@code ObjectMapper}. */
class JsonTreeTest {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Nesting slightly below the maximum of Jackson's parsers, which is 1000. */
  private static final int DEPTH = 990;

  private static final long STACK_BYTES = 512 * 1024;

  @Property(tries = 500, seed = "1")
  void treesAreReadAndWrittenAsTheMapperDoes(@ForAll("objects") ObjectNode tree)
      throws JsonProcessingException, MalformedJsonException {
    byte[] expected = MAPPER.writeValueAsBytes(tree);
    assertEquals(text(expected), text(Json.bytes(tree)));
    assertEquals(tree, Json.parse(expected));
  }

  @Provide
  Arbitrary<ObjectNode> objects() {
    return Arbitraries.maps(Arbitraries.strings().ofMaxLength(5), values())
        .ofMaxSize(6)
        .map(fields -> Json.object().setAll(fields));
  }

  private static Arbitrary<JsonNode> values() {
    Arbitrary<JsonNode> leaves =
        Arbitraries.oneOf(
            Arbitraries.strings().ofMaxLength(10).map(Json.object()::textNode),
            Arbitraries.integers().map(Json.object()::numberNode),
            Arbitraries.longs().map(Json.object()::numberNode),
            Arbitraries.bigIntegers().map(Json.object()::numberNode),
            Arbitraries.doubles().map(Json.object()::numberNode),
            Arbitraries.of(true, false).map(Json.object()::booleanNode),
            Arbitraries.just(Json.object().nullNode()));
    // Jackson reads a small integer as an int, even if a long or a BigInteger was written.
    return Arbitraries.lazyOf(
            () -> leaves,
            () -> leaves,
            () -> leaves.list().ofMaxSize(4).map(items -> Json.array().addAll(items)),
            () ->
                Arbitraries.maps(Arbitraries.strings().alpha().ofMaxLength(3), leaves)
                    .ofMaxSize(4)
                    .map(fields -> Json.object().setAll(fields)))
        .map(JsonTreeTest::roundTrip);
  }

  private static JsonNode roundTrip(JsonNode node) {
    try {
      return MAPPER.readTree(MAPPER.writeValueAsBytes(node));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        "{",
        "{}x",
        "{} {}",
        "[1]",
        "null",
        "{\"a\":}",
        "{\"a\":1,}",
        "{\"a\":01}"
      })
  void inputOtherThanOneObjectIsRefused(String body) {
    assertThrows(
        MalformedJsonException.class, () -> Json.parse(body.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void lastOfTwoFieldsWithTheSameNameIsUsed() throws MalformedJsonException {
    assertEquals(
        2, Json.parse("{\"a\":1,\"a\":2}".getBytes(StandardCharsets.UTF_8)).path("a").asInt());
  }

  @Test
  void deepNestingFitsTheStackOfAController() throws InterruptedException {
    String body = "{\"a\":" + "[".repeat(DEPTH) + "]".repeat(DEPTH) + "}";
    boolean[] read = {false};
    Runnable reading =
        () -> read[0] = Json.parseOrEmpty(body.getBytes(StandardCharsets.UTF_8)).has("a");
    Thread thread = new Thread(null, reading, "small stack", STACK_BYTES);
    thread.start();
    thread.join();
    assertTrue(read[0], "a deeply nested value should be read");
  }

  @Test
  void nestingBeyondJacksonsMaximumIsRefused() {
    String body = "{\"a\":" + "[".repeat(2 * DEPTH) + "]".repeat(2 * DEPTH) + "}";
    assertThrows(
        MalformedJsonException.class, () -> Json.parse(body.getBytes(StandardCharsets.UTF_8)));
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
