package org.fieldtrestle.state;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * A cache with a bounded number of entries. The underlying cache is created with the first entry,
 * because its creation takes milliseconds of processor time, which a controller that has just
 * started needs for its workers.
 */
public final class BoundedCache<K, V> {
  private final long maximumSize;
  private Cache<K, V> cache;

  /** Creates a cache that holds at most the given number of entries. */
  public BoundedCache(long maximumSize) {
    this.maximumSize = maximumSize;
  }

  /** Adds or replaces an entry; other entries may be evicted. */
  public void put(K key, V value) {
    if (cache == null) {
      cache = Caffeine.newBuilder().maximumSize(maximumSize).executor(Runnable::run).build();
    }
    cache.put(key, value);
  }

  /** Returns the value of a key; {@code null} if it was never added or has been evicted. */
  public V get(K key) {
    return cache == null ? null : cache.getIfPresent(key);
  }
}
