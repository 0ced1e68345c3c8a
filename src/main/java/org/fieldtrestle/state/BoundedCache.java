package org.fieldtrestle.state;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * A bounded cache that is set up with its first entry: setting up one takes milliseconds of
 * processor time, which a controller that has just started needs for its workers.
 */
public final class BoundedCache<K, V> {
  private final long maximumSize;
  private Cache<K, V> cache;

  public BoundedCache(long maximumSize) {
    this.maximumSize = maximumSize;
  }

  public void put(K key, V value) {
    if (cache == null) {
      cache = Caffeine.newBuilder().maximumSize(maximumSize).executor(Runnable::run).build();
    }
    cache.put(key, value);
  }

  /** The value of a key, or null where it is not remembered. */
  public V get(K key) {
    return cache == null ? null : cache.getIfPresent(key);
  }
}
