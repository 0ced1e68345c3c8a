package org.fieldtrestle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** The operators' settings: defaults, and what is refused by name. */
class OperatorSettingsParserTest {
  @Test
  void whatIsNotSaidHasItsDefault() throws InvalidSettingException {
    assertEquals(OperatorSettings.DEFAULT, OperatorSettingsParser.parse(""));
    OperatorSettings read =
        OperatorSettingsParser.parse(
            "falcon {\n  delta = 0.5\n}\neviction {\n  wait_s = 4\n}\nreserve = 2\n");
    assertEquals(0.5, read.delta());
    assertEquals(4, read.preemptionWaitS());
    assertEquals(2, read.reserve());
    assertEquals(OperatorSettings.DEFAULT.margin(), read.margin());
  }

  private static String fieldOf(InvalidSettingException error) {
    return error.getMessage().substring(0, error.getMessage().indexOf(":"));
  }

  private static void refused(String text, String field) {
    InvalidSettingException error =
        assertThrows(InvalidSettingException.class, () -> OperatorSettingsParser.parse(text));
    assertEquals(field, fieldOf(error));
  }

  @Test
  void badFiguresAreRefusedByName() {
    refused("falcon {\n  delta = 0\n}", "falcon.delta");
    refused("falcon {\n  delta = \"much\"\n}", "falcon.delta");
    refused("falcon {\n  remaining_weight = 0.9\n}", "falcon.waiting_weight");
    refused("eviction {\n  victim_share = 1.5\n}", "eviction.victim_share");
    refused("reserve = -1", "reserve");
    refused("falcon {\n  delta = @@\n}", "operator file");
    refused("falcon {\n  delta = 0.5", "delta");
    refused("falcon {\n  dleta = 0.5\n}", "falcon.dleta");
  }
}
