package org.fieldtrestle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Defaults of the operators' settings, and refusals, which name the invalid setting. */
class OperatorSettingsParserTest {
  @Test
  void missingSettingsHaveTheirDefaults() throws InvalidSettingException {
    assertEquals(OperatorSettings.DEFAULT, OperatorSettingsParser.parse(""));
    OperatorSettings read =
        OperatorSettingsParser.parse(
            "falcon {\n  delta = 0.5\n}\neviction {\n  wait_s = 4\n}\nreserve = 2\n");
    assertEquals(0.5, read.delta());
    assertEquals(4, read.preemptionWaitS());
    assertEquals(2, read.reservedJobs());
    assertEquals(OperatorSettings.DEFAULT.preemptionMargin(), read.preemptionMargin());
  }

  private static String fieldOf(InvalidSettingException error) {
    return error.getMessage().substring(0, error.getMessage().indexOf(":"));
  }

  private static void assertRefused(String text, String field) {
    InvalidSettingException error =
        assertThrows(InvalidSettingException.class, () -> OperatorSettingsParser.parse(text));
    assertEquals(field, fieldOf(error));
  }

  @Test
  void invalidSettingsAreRefusedWithTheirNames() {
    assertRefused("falcon {\n  delta = 0\n}", "falcon.delta");
    assertRefused("falcon {\n  delta = \"much\"\n}", "falcon.delta");
    assertRefused("falcon {\n  remaining_weight = 0.9\n}", "falcon.waiting_weight");
    assertRefused("eviction {\n  victim_share = 1.5\n}", "eviction.victim_share");
    assertRefused("reserve = -1", "reserve");
    assertRefused("falcon {\n  delta = @@\n}", "operator file");
    assertRefused("falcon {\n  delta = 0.5", "delta");
    assertRefused("falcon {\n  dleta = 0.5\n}", "falcon.dleta");
  }
}
