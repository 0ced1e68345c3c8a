package org.fieldtrestle.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;

/** Whether images share bandwidth is learned from how long they take. */
class ImageDownloadsTest {
  /** An image of so many seconds came after what it takes, by a third more or less, and telling. */
  private static void images(
      ImageDownloads lines, SplittableRandom random, double aloneS, double times) {
    for (int i = 0; i < 60; i++) {
      double fetchS = aloneS * times * (0.67 + random.nextDouble() * 0.66);
      lines.record(fetchS + random.nextDouble() * 4, aloneS);
    }
  }

  @Property(tries = 200, seed = "51")
  void whetherImagesShareTheirLineIsLearnedWhateverTheirSize(
      @ForAll @DoubleRange(min = 5, max = 120) double aloneS,
      @ForAll @LongRange(min = 0) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ImageDownloads lines = new ImageDownloads(4);
    images(lines, random, aloneS, 1);
    assertEquals(false, lines.shared(), "each has a line of its own");
    images(lines, random, aloneS, 2.4);
    assertEquals(true, lines.shared(), "beside one or two others");
    images(lines, random, 0.5, 1);
    assertEquals(true, lines.shared(), "those that take no time tell nothing");
    images(lines, random, aloneS, 1);
    assertEquals(false, lines.shared(), "no longer");
  }
}
