package org.fieldtrestle.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fieldtrestle.state.QuotaAmount;

/**
 * What the tasks need that a placement pass had room for and that only the shard's quota shares did
 * not allow. Of several needs of a team, only those are kept that do not include another one.
 */
final class QuotaRefusals {
  private final Map<String, List<QuotaAmount>> needsByTeam = new HashMap<>();

  /** Forgets what earlier passes have found. */
  void clear() {
    needsByTeam.clear();
  }

  /** Whether a need of the team is known that is not larger than the given one. */
  boolean covers(String team, QuotaAmount need) {
    for (QuotaAmount known : needs(team)) {
      if (known.fitsIn(need)) {
        return true;
      }
    }
    return false;
  }

  void add(String team, QuotaAmount need) {
    if (!covers(team, need)) {
      List<QuotaAmount> needs = needsByTeam.computeIfAbsent(team, t -> new ArrayList<>());
      needs.removeIf(need::fitsIn);
      needs.add(need);
    }
  }

  /** Returns the needs of a team; empty if its share allowed all that there was room for. */
  List<QuotaAmount> needs(String team) {
    return needsByTeam.getOrDefault(team, List.of());
  }
}
