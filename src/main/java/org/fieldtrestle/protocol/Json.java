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

/** Reads and writes JSON, and checks the fields of foreign JSON. May be used by every thread. */
public final class Json {
  /** Enough for most bodies that are written field by field. */
  private static final int INITIAL_BYTES = 256;

  private static final JsonFactory FACTORY = new JsonFactory();

  private Json() {}

  /** A new object without fields. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** A new array without items. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Writes a tree as UTF-8. */
  public static byte[] bytes(JsonNode json) {
    return generated(out -> JsonTree.write(out, json));
  }

  /** Writes the fields of an object. */
  interface FieldWriter {
    void write(JsonGenerator out) throws IOException;
  }

  /** An object whose fields are written one by one, without a tree of them. */
  static byte[] write(FieldWriter fields) {
    return generated(
        out -> {
          out.writeStartObject();
          fields.write(out);
          out.writeEndObject();
        });
  }

  private static byte[] generated(FieldWriter content) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      content.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException("bytes can always be written", e);
    }
    return bytes.toByteArray();
  }

  /** Reads a body token by token. */
  static JsonParser parser(byte[] body) throws IOException {
    return FACTORY.createParser(body);
  }

  /**
   * Reads a body that must be one object.
   *
   * @throws MalformedJsonException if it is not
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

  /** Like {@link #parse}, but an empty object where the body is malformed. */
  public static JsonNode parseOrEmpty(byte[] body) {
    try {
      return parse(body);
    } catch (MalformedJsonException e) {
      return object();
    }
  }

  /** Whether a field is missing or null, which mean the same. */
  static boolean absent(JsonNode json, String field) {
    JsonNode value = json.get(field);
    return value == null || value.isNull();
  }

  /**
   * A required text.
   *
   * @throws MalformedJsonException if the field is missing or no text
   */
  public static String text(JsonNode json, String field) throws MalformedJsonException {
    JsonNode value = json.path(field);
    if (!value.isTextual()) {
      throw new MalformedJsonException(field);
    }
    return value.textValue();
  }

  /**
   * A required boolean.
   *
   * @throws MalformedJsonException if the field is missing or no boolean
   */
  static boolean flag(JsonNode json, String field) throws MalformedJsonException {
    JsonNode value = json.path(field);
    if (!value.isBoolean()) {
      throw new MalformedJsonException(field);
    }
    return value.booleanValue();
  }

  /**
   * A required amount: a finite number from 0.
   *
   * @throws MalformedJsonException if the field is missing or no such number
   */
  static double amount(JsonNode json, String field) throws MalformedJsonException {
    JsonNode value = json.path(field);
    if (!value.isNumber() || !Double.isFinite(value.doubleValue()) || value.doubleValue() < 0) {
      throw new MalformedJsonException(field);
    }
    return value.doubleValue();
  }

  /**
   * A required count: a whole number from 0. Those beyond a signed long, though the protocols allow
   * them, are refused.
   *
   * @throws MalformedJsonException if the field is missing or no such number
   */
  public static long count(JsonNode json, String field) throws MalformedJsonException {
    JsonNode value = json.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
      throw new MalformedJsonException(field);
    }
    return value.longValue();
  }
}
