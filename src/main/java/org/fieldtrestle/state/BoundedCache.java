package org.fieldtrestle.state;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * A bounded cache that is created with its first entry: its creation takes milliseconds of
 * processor time, which a controller that has just started needs for its workers.
 */
public final class BoundedCache<K, V> {
  private final long maximumSize;
  private Cache<K, V> cache;

  /** Creates a cache of so many entries at the most. */
  public BoundedCache(long maximumSize) {
    this.maximumSize = maximumSize;
  }

  /** Adds or replaces an entry; others may be evicted for it. */
  public void put(K key, V value) {
    if (cache == null) {
      cache = Caffeine.newBuilder().maximumSize(maximumSize).executor(Runnable::run).build();
    }
    cache.put(key, value);
  }

  /** The value of a key, or null where there is none or it has been evicted. */
  public V get(K key) {
    return cache == null ? null : cache.getIfPresent(key);
  }
}
