package org.fieldtrestle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Reading of the platform's settings; refusals and warnings name the field. */
class SettingsParserTest {
  private static final String VALID =
      """
      label = "n-0"
      site = "a"
      front = "127.0.0.1:8080"
      internal_addr = "127.0.0.1:8081"
      newer = "ignored"
      [[others]]
      label = "n-1"
      site = "b"
      peer_addr = "127.0.0.2:8081"
      [endpoints]
      cloud = "127.0.0.3:1"
      state = "127.0.0.3:2"
      [cluster]
      zones = ["a", "b"]
      skew_ms = 100.0
      [[cluster.teams]]
      name = "t"
      cpus = 1.0
      cpus_max = 10.0
      gpus = 0.0
      gpus_max = 0.0
      [[cluster.objectives]]
      kind = "wait"
      class = "c"
      within_s = 10.0
      share = 0.9
      [cluster.workers]
      report_s = 2.5
      lease_s = 16.0
      cancel_s = 46.0
      [cluster.state]
      rps = 200.0
      write_rps = 40.0
      value_kb = 8.0
      txn_ops = 32
      [cluster.cloud]
      rps = 3.0
      list_lag_s = 6.0
      [cluster.machine_limits]
      cpu = 0.2
      mem_mb = 263.0
      fd_limit = 1800
      """;

  @Test
  void validFileIsRead() throws InvalidSettingException {
    Settings settings = SettingsParser.parse(VALID);
    assertEquals("n-1", settings.peers().get(0).label());
    assertEquals(10, settings.team("t").cpusMax());
    // The controller's lease, a worker's lease and a margin fit into the time of a cancellation.
    assertTrue(settings.controllerLeaseMs() + settings.workerLeaseMs() < 46_000);
    assertTrue(
        settings.controllerLeaseMs() > 25_000,
        "the controller's lease must outlast short outages of the key-value store");
  }

  private static String fieldOf(InvalidSettingException error) {
    return error.getMessage().substring(0, error.getMessage().indexOf(": "));
  }

  private static void assertRefused(String from, String to, String field) {
    assertTrue(VALID.contains(from), from);
    InvalidSettingException error =
        assertThrows(
            InvalidSettingException.class, () -> SettingsParser.parse(VALID.replace(from, to)));
    assertEquals(field, fieldOf(error));
    assertEquals(1, error.getMessage().lines().count());
  }

  @Test
  void invalidFieldsAreRefusedWithTheirNames() {
    assertRefused("label = \"n-0\"", "", "label");
    assertRefused("label = \"n-1\"", "label = \"n-0\"", "others[0].label");
    assertRefused("front = \"127.0.0.1:8080\"", "front = \"nowhere\"", "front");
    assertRefused("127.0.0.3:2", "127.0.0.3:99999", "endpoints.state");
    assertRefused("cpus_max = 10.0", "cpus_max = -1.0", "cluster.teams[0].cpus_max");
    assertRefused("report_s = 2.5", "report_s = 0.0", "cluster.workers.report_s");
    assertRefused("cancel_s = 46.0", "cancel_s = 17.0", "cluster.workers.cancel_s");
    assertRefused("lease_s = 16.0", "lease_s = 4.0", "cluster.workers.lease_s");
    assertRefused("rps = 200.0", "rps = \"many\"", "cluster.state.rps");
    assertRefused("[cluster.cloud]", "[cluster.sky]", "cluster.cloud");
    assertRefused("label = \"n-0\"", "label = ", "file");
  }

  private static void assertWarned(String from, String to, String field)
      throws InvalidSettingException {
    assertTrue(VALID.contains(from), from);
    List<String> warnings =
        SettingsChecks.warnings(SettingsParser.parse(VALID.replace(from, to)), 80);
    assertEquals(1, warnings.size(), warnings.toString());
    assertTrue(warnings.get(0).startsWith(field + ": "), warnings.get(0));
  }

  @Test
  void lowValuesAreAcceptedWithAWarning() throws InvalidSettingException {
    assertEquals(List.of(), SettingsChecks.warnings(SettingsParser.parse(VALID), 80));
    assertWarned("write_rps = 40.0", "write_rps = 4.0", "cluster.state.write_rps");
    assertWarned("\nrps = 200.0", "\nrps = 12.0", "cluster.state.rps");
    assertWarned("mem_mb = 263.0", "mem_mb = 100.0", "cluster.machine_limits.mem_mb");
    assertWarned("report_s = 2.5", "report_s = 6.0", "cluster.workers.lease_s");
  }
}
