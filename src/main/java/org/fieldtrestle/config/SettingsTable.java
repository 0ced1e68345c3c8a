package org.fieldtrestle.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A table of a settings file. Each reading method reads one field; if the field is missing or
 * invalid, the exception states its full name.
 *
 * @param name full name of the table; empty for the top level of the file
 */
record SettingsTable(JsonNode fields, String name) {
  private static final int MAX_PORT = 65_535;

  /** Returns the full name of a field, as error messages state it. */
  String fullName(String field) {
    return name.isEmpty() ? field : name + "." + field;
  }

  /** Returns a required text, which must not be blank. */
  String text(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    if (!value.isTextual() || value.textValue().isBlank()) {
      throw new InvalidSettingException(
          fullName(field), value.isMissingNode() ? "missing" : "must be a text that is not blank");
    }
    return value.textValue();
  }

  /** Returns an optional text, or an empty text if the field is missing. */
  String optionalText(String field) {
    return fields.path(field).asText("");
  }

  /** Returns an optional number, or the given default if the field is missing. */
  double optionalNumber(String field, double defaultValue) {
    return fields.path(field).asDouble(defaultValue);
  }

  /** Returns a required address, which consists of a host and a port. */
  String address(String field) throws InvalidSettingException {
    String value = text(field);
    int colon = value.lastIndexOf(':');
    if (colon < 1 || !value.substring(colon + 1).matches("[0-9]{1,5}")) {
      throw new InvalidSettingException(
          fullName(field), "must be a host, a colon and a port, not " + value);
    }
    int port = Integer.parseInt(value.substring(colon + 1));
    if (port < 1 || port > MAX_PORT) {
      throw new InvalidSettingException(fullName(field), "port out of range: " + port);
    }
    return value;
  }

  /** Returns a required finite number of at least 0. */
  double nonNegative(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
      throw new InvalidSettingException(
          fullName(field), value.isMissingNode() ? "missing" : "must be a finite number");
    }
    if (value.doubleValue() < 0) {
      throw new InvalidSettingException(fullName(field), "must not be below 0");
    }
    return value.doubleValue();
  }

  /** Returns a required finite number above 0. */
  double positive(String field) throws InvalidSettingException {
    double value = nonNegative(field);
    if (value <= 0) {
      throw new InvalidSettingException(fullName(field), "must be above 0");
    }
    return value;
  }

  /** Returns a required table. */
  SettingsTable table(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    if (!value.isObject()) {
      throw new InvalidSettingException(
          fullName(field), value.isMissingNode() ? "missing" : "must be a table");
    }
    return new SettingsTable(value, fullName(field));
  }

  /** Returns a list of tables, which is empty if the field is missing. */
  List<SettingsTable> tables(String field) throws InvalidSettingException {
    JsonNode value = fields.path(field);
    List<SettingsTable> all = new ArrayList<>();
    if (!value.isMissingNode() && !value.isArray()) {
      throw new InvalidSettingException(fullName(field), "must be a list");
    }
    for (JsonNode item : value) {
      all.add(new SettingsTable(item, fullName(field) + "[" + all.size() + "]"));
    }
    return all;
  }

  /** Returns a required list of texts, which must not be empty. */
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
