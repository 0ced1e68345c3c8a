package org.fieldtrestle.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON, and checks the fields of received JSON. All methods are thread-safe. */
public final class Json {
  /** Initial size of the output buffer; enough for most bodies that are written field by field. */
  private static final int INITIAL_BYTES = 256;

  private static final JsonFactory FACTORY = new JsonFactory();

  private Json() {}

  /** Returns a new object without fields. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns a new array without items. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Writes a tree as UTF-8. */
  public static byte[] bytes(JsonNode json) {
    return generate(out -> JsonTree.write(out, json));
  }

  /** Writes JSON content to a generator. */
  interface ContentWriter {
    void write(JsonGenerator out) throws IOException;
  }

  /** Writes an object field by field, without building a tree first. */
  static byte[] writeObject(ContentWriter fields) {
    return generate(
        out -> {
          out.writeStartObject();
          fields.write(out);
          out.writeEndObject();
        });
  }

  private static byte[] generate(ContentWriter content) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      content.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write JSON to memory", e);
    }
    return bytes.toByteArray();
  }

  /** Returns a parser that reads a body token by token. */
  static JsonParser parser(byte[] body) throws IOException {
    return FACTORY.createParser(body);
  }

  /**
   * Reads a body, which must be a single object.
   *
   * @throws MalformedJsonException if the body is anything else
   */
  public static JsonNode parse(byte[] body) throws MalformedJsonException {
    JsonNode json;
    try (JsonParser parser = FACTORY.createParser(body)) {
      json = JsonTree.readSingle(parser);
    } catch (IOException e) {
      throw new MalformedJsonException("not JSON");
    }
    if (json == null || !json.isObject()) {
      throw new MalformedJsonException("not an object");
    }
    return json;
  }

  /** Like {@link #parse}, but returns an empty object if the body is malformed. */
  public static JsonNode parseOrEmpty(byte[] body) {
    try {
      return parse(body);
    } catch (MalformedJsonException e) {
      return object();
    }
  }

  /** Whether a field is missing or null; the protocols treat both the same. */
  static boolean isAbsent(JsonNode json, String field) {
    JsonNode value = json.get(field);
    return value == null || value.isNull();
  }

  /**
   * Returns the value of a required text field.
   *
   * @throws MalformedJsonException if the field is missing or not a text
   */
  public static String text(JsonNode json, String field) throws MalformedJsonException {
    JsonNode value = json.path(field);
    if (!value.isTextual()) {
      throw new MalformedJsonException(field);
    }
    return value.textValue();
  }

  /**
   * Returns the value of a required boolean field.
   *
   * @throws MalformedJsonException if the field is missing or not a boolean
   */
  static boolean flag(JsonNode json, String field) throws MalformedJsonException {
    JsonNode value = json.path(field);
    if (!value.isBoolean()) {
      throw new MalformedJsonException(field);
    }
    return value.booleanValue();
  }

  /**
   * Returns the value of a required field that holds a finite number of at least 0.
   *
   * @throws MalformedJsonException if the field is missing or has another value
   */
  static double amount(JsonNode json, String field) throws MalformedJsonException {
    JsonNode value = json.path(field);
    if (!value.isNumber() || !Double.isFinite(value.doubleValue()) || value.doubleValue() < 0) {
      throw new MalformedJsonException(field);
    }
    return value.doubleValue();
  }

  /**
   * Returns the value of a required field that holds a whole number of at least 0. Rejects numbers
   * that exceed a signed long, although the protocols allow them.
   *
   * @throws MalformedJsonException if the field is missing or has another value
   */
  public static long count(JsonNode json, String field) throws MalformedJsonException {
    JsonNode value = json.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
      throw new MalformedJsonException(field);
    }
    return value.longValue();
  }
}
