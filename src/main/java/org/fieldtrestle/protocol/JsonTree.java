package org.fieldtrestle.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;

/**
 * Reads JSON trees from Jackson's parsers and writes them to its generators. Jackson's {@code
 * ObjectMapper} does the same, but also sets up date formats and class introspection, which this
 * program does not use and which take tens of milliseconds of processor time at each start.
 */
public final class JsonTree {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTree() {}

  /**
   * Reads the single value of the input.
   *
   * @return {@code null} if the input holds no value or more than one
   * @throws IOException if the input is not well formed
   */
  public static JsonNode readSingle(JsonParser parser) throws IOException {
    if (parser.nextToken() == null) {
      return null;
    }
    JsonNode value = readValue(parser);
    return parser.nextToken() == null ? value : null;
  }

  private static JsonNode readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> readInteger(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      default -> NODES.nullNode();
    };
  }

  private static ObjectNode readObject(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      parser.nextToken();
      object.set(field, readValue(parser));
    }
    return object;
  }

  private static ArrayNode readArray(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(parser));
    }
    return array;
  }

  private static JsonNode readInteger(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  /** Writes a value with all values nested in it. */
  static void write(JsonGenerator out, JsonNode tree) throws IOException {
    switch (tree.getNodeType()) {
      case OBJECT -> writeObject(out, tree);
      case ARRAY -> writeArray(out, tree);
      case STRING -> out.writeString(tree.textValue());
      case BOOLEAN -> out.writeBoolean(tree.booleanValue());
      case NUMBER -> writeNumber(out, tree);
      default -> out.writeNull();
    }
  }

  private static void writeObject(JsonGenerator out, JsonNode tree) throws IOException {
    out.writeStartObject();
    Iterator<Map.Entry<String, JsonNode>> fields = tree.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      out.writeFieldName(field.getKey());
      write(out, field.getValue());
    }
    out.writeEndObject();
  }

  private static void writeArray(JsonGenerator out, JsonNode tree) throws IOException {
    out.writeStartArray();
    for (JsonNode item : tree) {
      write(out, item);
    }
    out.writeEndArray();
  }

  private static void writeNumber(JsonGenerator out, JsonNode tree) throws IOException {
    switch (tree.numberType()) {
      case INT -> out.writeNumber(tree.intValue());
      case LONG -> out.writeNumber(tree.longValue());
      case BIG_INTEGER -> out.writeNumber(tree.bigIntegerValue());
      case FLOAT -> out.writeNumber(tree.floatValue());
      case DOUBLE -> out.writeNumber(tree.doubleValue());
      case BIG_DECIMAL -> out.writeNumber(tree.decimalValue());
    }
  }
}
