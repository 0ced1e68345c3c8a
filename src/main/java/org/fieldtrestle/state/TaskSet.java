package org.fieldtrestle.state;

import java.util.Base64;
import java.util.BitSet;

/**
 * Encodes a set of task numbers as a compact text: runs such as {@code 0-5,8} or, if these would be
 * longer, {@code #} followed by a bitmap in Base64.
 */
public final class TaskSet {
  private static final String BITMAP_MARK = "#";

  private TaskSet() {}

  /** Encodes a set; uses runs unless they get longer than the bitmap. */
  public static String encode(BitSet set) {
    byte[] bitmap = set.toByteArray();
    int bitmapLength = BITMAP_MARK.length() + (bitmap.length + 2) / 3 * 4;
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
      if (runs.length() > bitmapLength) {
        return BITMAP_MARK + Base64.getEncoder().encodeToString(bitmap);
      }
      from = set.nextSetBit(to + 1);
    }
    return runs.toString();
  }

  /**
   * Decodes a set.
   *
   * @param size the limit that all numbers must be below
   * @throws IllegalArgumentException if the text is damaged or contains a number that is not below
   *     {@code size}
   */
  public static BitSet decode(String text, int size) {
    BitSet set =
        text.startsWith(BITMAP_MARK)
            ? BitSet.valueOf(Base64.getDecoder().decode(text.substring(BITMAP_MARK.length())))
            : decodeRuns(text, size);
    if (set.length() > size) {
      throw new IllegalArgumentException("task set beyond " + size);
    }
    return set;
  }

  private static BitSet decodeRuns(String text, int size) {
    BitSet set = new BitSet();
    if (text.isEmpty()) {
      return set;
    }
    for (String run : text.split(",", -1)) {
      int dash = run.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? run : run.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(run.substring(dash + 1));
      if (from < 0 || to < from || to >= size) {
        throw new IllegalArgumentException("task set run " + run);
      }
      set.set(from, to + 1);
    }
    return set;
  }
}
