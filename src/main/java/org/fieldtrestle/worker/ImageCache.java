package org.fieldtrestle.worker;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The images that a worker is expected to have. A worker removes the least recently used images
 * first.
 */
final class ImageCache {
  /** Sizes in GB, the least recently used image first. */
  private final Map<String, Double> sizesGb = new LinkedHashMap<>(16, 0.75f, true);

  /** Records that a task with this image was placed on the worker or is there. */
  void use(String image, double gb, double cacheGb) {
    if (sizesGb.put(image, gb) != null) {
      return; // the image was present already
    }
    double totalGb = 0;
    for (double size : sizesGb.values()) {
      totalGb += size;
    }
    Iterator<Map.Entry<String, Double>> oldest = sizesGb.entrySet().iterator();
    while (totalGb > cacheGb && sizesGb.size() > 1 && oldest.hasNext()) {
      totalGb -= oldest.next().getValue();
      oldest.remove();
    }
  }

  boolean has(String image) {
    return sizesGb.containsKey(image);
  }
}
