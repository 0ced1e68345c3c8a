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
 * Reads trees from Jackson's parsers and writes them to its generators. An {@code ObjectMapper}
 * does the same, but sets up formats of dates and inspection of classes that nothing here uses,
 * which takes tens of milliseconds of processor time at each start.
 */
public final class JsonTree {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTree() {}

  /**
   * Reads the one value that the input consists of.
   *
   * @return null where there is no value, or more than one
   * @throws IOException if the input is not well formed
   */
  public static JsonNode readSingle(JsonParser parser) throws IOException {
    if (parser.nextToken() == null) {
      return null;
    }
    JsonNode value = value(parser);
    return parser.nextToken() == null ? value : null;
  }

  private static JsonNode value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      default -> NODES.nullNode();
    };
  }

  private static ObjectNode object(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String field = parser.currentName();
      parser.nextToken();
      object.set(field, value(parser));
    }
    return object;
  }

  private static ArrayNode array(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(value(parser));
    }
    return array;
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  /** Writes a value with all that is in it. */
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
