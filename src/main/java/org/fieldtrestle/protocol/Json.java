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

/** The one factory of JSON parsers, and the checks that all readers of foreign JSON share. */
public final class Json {
  /** What most bodies that are written field by field take at the most. */
  private static final int USUAL_BYTES = 256;

  private static final JsonFactory FACTORY = new JsonFactory();

  private Json() {}

  /** Foreign JSON that breaks its protocol. */
  public static final class MalformedJsonException extends Exception {
    private static final long serialVersionUID = 1;

    public MalformedJsonException(String message) {
      super(message);
    }
  }

  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  public static byte[] bytes(JsonNode context) {
    return generated(out -> JsonTree.write(out, context));
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
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(USUAL_BYTES);
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

  public static JsonNode parse(byte[] body) throws MalformedJsonException {
    JsonNode context;
    try (JsonParser parser = FACTORY.createParser(body)) {
      context = JsonTree.readSingle(parser);
    } catch (IOException e) {
      throw new MalformedJsonException("not JSON");
    }
    if (context == null || !context.isObject()) {
      throw new MalformedJsonException("not an object");
    }
    return context;
  }

  /** Like {@link #parse}, for an answer whose body is not worth an error of its own. */
  public static JsonNode parseOrEmpty(byte[] body) {
    try {
      return parse(body);
    } catch (MalformedJsonException e) {
      return object();
    }
  }

  static boolean absent(JsonNode context, String field) {
    JsonNode value = context.get(field);
    return value == null || value.isNull();
  }

  public static String text(JsonNode context, String field) throws MalformedJsonException {
    JsonNode value = context.path(field);
    if (!value.isTextual()) {
      throw new MalformedJsonException(field);
    }
    return value.textValue();
  }

  static boolean flag(JsonNode context, String field) throws MalformedJsonException {
    JsonNode value = context.path(field);
    if (!value.isBoolean()) {
      throw new MalformedJsonException(field);
    }
    return value.booleanValue();
  }

  static double amount(JsonNode context, String field) throws MalformedJsonException {
    JsonNode value = context.path(field);
    if (!value.isNumber() || !Double.isFinite(value.doubleValue()) || value.doubleValue() < 0) {
      throw new MalformedJsonException(field);
    }
    return value.doubleValue();
  }

  /** A count; those beyond a signed long, though allowed on the wire, are never sent to us. */
  public static long count(JsonNode context, String field) throws MalformedJsonException {
    JsonNode value = context.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
      throw new MalformedJsonException(field);
    }
    return value.longValue();
  }
}
