package org.fieldtrestle.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A table of a settings file. Its methods read one field each, and refuse a missing or invalid one
 * by its full name.
 *
 * @param name the table's full name; empty for the whole file
 */
record SettingsTable(JsonNode fields, String name) {
  private static final int MAX_PORT = 65_535;

  /** The name of a field in error messages. */
  String fullName(String field) {
    return name.isEmpty() ? field : name + "." + field;
  }

  /** A required text that is not blank. */
  String text(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    if (!value.isTextual() || value.textValue().isBlank()) {
      throw new InvalidSettingException(
          fullName(field), value.isMissingNode() ? "missing" : "not a text");
    }
    return value.textValue();
  }

  /** A text, or an empty one where it is missing. */
  String optionalText(String field) {
    return fields.path(field).asText("");
  }

  /** A number, or another where it is missing. */
  double optionalNumber(String field, double otherwise) {
    return fields.path(field).asDouble(otherwise);
  }

  /** A required host and port. */
  String address(String field) throws InvalidSettingException {
    String value = text(field);
    int colon = value.lastIndexOf(':');
    if (colon < 1 || !value.substring(colon + 1).matches("[0-9]{1,5}")) {
      throw new InvalidSettingException(fullName(field), "not an address with a port: " + value);
    }
    int port = Integer.parseInt(value.substring(colon + 1));
    if (port < 1 || port > MAX_PORT) {
      throw new InvalidSettingException(fullName(field), "no such port: " + port);
    }
    return value;
  }

  /** A required finite number from 0. */
  double atLeastZero(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
      throw new InvalidSettingException(
          fullName(field), value.isMissingNode() ? "missing" : "not a number");
    }
    if (value.doubleValue() < 0) {
      throw new InvalidSettingException(fullName(field), "below 0");
    }
    return value.doubleValue();
  }

  /** A required finite number above 0. */
  double positive(String field) throws InvalidSettingException {
    double value = atLeastZero(field);
    if (value <= 0) {
      throw new InvalidSettingException(fullName(field), "must be above 0");
    }
    return value;
  }

  /** A required table. */
  SettingsTable table(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    if (!value.isObject()) {
      throw new InvalidSettingException(
          fullName(field), value.isMissingNode() ? "missing" : "not a table");
    }
    return new SettingsTable(value, fullName(field));
  }

  /** A list of tables; empty where it is missing. */
  List<SettingsTable> tables(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    List<SettingsTable> all = new ArrayList<>();
    if (!value.isMissingNode() && !value.isArray()) {
      throw new InvalidSettingException(fullName(field), "not a list");
    }
    for (JsonNode item : value) {
      all.add(new SettingsTable(item, fullName(field) + "[" + all.size() + "]"));
    }
    return all;
  }

  /** A required list of texts that is not empty. */
  List<String> texts(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    List<String> all = new ArrayList<>();
    for (JsonNode item : value) {
      all.add(item.asText());
    }
    if (all.isEmpty()) {
      throw new InvalidSettingException(fullName(field), "missing or empty");
    }
    return List.copyOf(all);
  }
}
