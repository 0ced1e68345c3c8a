package org.fieldtrestle.state;

import java.util.Base64;
import java.util.BitSet;

/**
 * A set of task numbers in a compact text: runs such as {@code 0-5,8}, or, where the set is too
 * ragged for that, {@code #} and a bitmap.
 */
public final class TaskSet {
  private TaskSet() {}

  public static String encode(BitSet set) {
    byte[] bitmap = set.toByteArray();
    int budget = 1 + (bitmap.length + 2) / 3 * 4;
    StringBuilder runs = new StringBuilder();
    for (int from = set.nextSetBit(0); from >= 0; ) {
      int to = set.nextClearBit(from) - 1;
      if (runs.length() > 0) {
        runs.append(',');
      }
      runs.append(from);
      if (to > from) {
        runs.append('-').append(to);
      }
      if (runs.length() > budget) {
        return "#" + Base64.getEncoder().encodeToString(bitmap);
      }
      from = set.nextSetBit(to + 1);
    }
    return runs.toString();
  }

  /**
   * Reads the text again.
   *
   * @throws IllegalArgumentException where the text is damaged or names a number not below size
   */
  public static BitSet decode(String text, int size) {
    BitSet set;
    if (text.startsWith("#")) {
      set = BitSet.valueOf(Base64.getDecoder().decode(text.substring(1)));
    } else {
      set = new BitSet();
      if (!text.isEmpty()) {
        for (String run : text.split(",", -1)) {
          int dash = run.indexOf('-');
          int from = Integer.parseInt(dash < 0 ? run : run.substring(0, dash));
          int to = dash < 0 ? from : Integer.parseInt(run.substring(dash + 1));
          if (from < 0 || to < from || to >= size) {
            throw new IllegalArgumentException("task set run " + run);
          }
          set.set(from, to + 1);
        }
      }
    }
    if (set.length() > size) {
      throw new IllegalArgumentException("task set beyond " + size);
    }
    return set;
  }
}
