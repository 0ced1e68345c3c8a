package org.fieldtrestle.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;

/** Verifies that the sharing of bandwidth is learned from the durations of image downloads. */
class ImageDownloadsTest {
  /**
   * Records images whose download takes {@code multiple} times as long as alone, give or take a
   * third, plus the delay of up to a heartbeat interval with which workers report them.
   */
  private static void recordImages(
      ImageDownloads downloads, SplittableRandom random, double uncontendedS, double multiple) {
    for (int i = 0; i < 60; i++) {
      double fetchS = uncontendedS * multiple * (0.67 + random.nextDouble() * 0.66);
      downloads.record(fetchS + random.nextDouble() * 4, uncontendedS);
    }
  }

  @Property(tries = 200, seed = "51")
  void whetherImagesShareBandwidthIsLearnedWhateverTheirSize(
      @ForAll @DoubleRange(min = 5, max = 120) double uncontendedS,
      @ForAll @LongRange(min = 0) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ImageDownloads downloads = new ImageDownloads(4);
    recordImages(downloads, random, uncontendedS, 1);
    assertEquals(false, downloads.isBandwidthShared(), "images that do not share bandwidth");
    recordImages(downloads, random, uncontendedS, 2.4);
    assertEquals(
        true, downloads.isBandwidthShared(), "images that share bandwidth with one or two others");
    recordImages(downloads, random, 0.5, 1);
    assertEquals(true, downloads.isBandwidthShared(), "tiny images are no evidence");
    recordImages(downloads, random, uncontendedS, 1);
    assertEquals(false, downloads.isBandwidthShared(), "images that no longer share bandwidth");
  }
}
