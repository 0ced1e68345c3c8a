package org.fieldtrestle.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fieldtrestle.protocol.KeyValueProtocol;
import org.fieldtrestle.state.BoundedCache;
import org.fieldtrestle.state.FinishedJobRecord;
import org.fieldtrestle.state.KeyValueClient;
import org.fieldtrestle.state.ListResult;
import org.fieldtrestle.state.RecordCodec;
import org.fieldtrestle.state.StateKeys;
import org.fieldtrestle.state.UnreadableRecordException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out how jobs ended: from a cache for some jobs, from the key-value store for all others.
 *
 * <p>After a restart, users query more jobs than could be read one by one in time. One read
 * therefore lists a page of all finished jobs and completes every pending query whose key lies
 * within that page. The next page starts where the last one ended, so that every query is completed
 * eventually, regardless of the other queries.
 *
 * <p>A query is never completed by a read that was sent before the query came: the job may have
 * been accepted and may have ended in between.
 */
final class FinishedJobs {
  private static final Logger LOG = LoggerFactory.getLogger(FinishedJobs.class);

  private static final int MAX_CACHED_JOBS = 20_000;

  /** The most jobs that may have pending queries; queries for further jobs are refused. */
  private static final int MAX_PENDING_JOBS = 4096;

  /**
   * Entries that are read for each job with pending queries; more than one, because other finished
   * jobs lie between these jobs.
   */
  private static final int ENTRIES_PER_PENDING_JOB = 2;

  /** Sorts after all digits; keys end with digits. */
  private static final String AFTER_DIGITS = "~";

  /** The result of reading how a job ended. */
  sealed interface Outcome {}

  /** The job has ended. */
  record Finished(FinishedJobRecord end) implements Outcome {}

  /** The job had not ended when the query came, or the job was never accepted. */
  record NotFinished() implements Outcome {}

  /** The key-value store could not be read, or the record of the finished job is unreadable. */
  record Unavailable() implements Outcome {}

  private final KeyValueClient store;
  private final BoundedCache<String, FinishedJobRecord> cache = new BoundedCache<>(MAX_CACHED_JOBS);

  /** Callbacks of queries for which no read has been sent yet, by the key of the finished job. */
  private NavigableMap<String, List<Consumer<Outcome>>> pendingQueries = new TreeMap<>();

  private boolean readEnqueued;

  /** Key from which the next page is read; empty to start at the first pending key. */
  private String nextPageStart = "";

  FinishedJobs(KeyValueClient store) {
    this.store = store;
  }

  /** Returns the cached record of how a job ended; empty if there is none in the cache. */
  Optional<FinishedJobRecord> cached(String jobId) {
    return Optional.ofNullable(cache.get(jobId));
  }

  /** Caches how a job ended. Called only once that is committed. */
  void cache(String jobId, FinishedJobRecord end) {
    cache.put(jobId, end);
  }

  /** Reads from the key-value store whether and how a job has ended. */
  void read(String jobId, Consumer<Outcome> callback) {
    String key = StateKeys.finished(jobId);
    if (!pendingQueries.containsKey(key) && pendingQueries.size() >= MAX_PENDING_JOBS) {
      callback.accept(new Unavailable());
      return;
    }
    addPending(key, List.of(callback));
    enqueueRead();
  }

  private void addPending(String key, List<Consumer<Outcome>> callbacks) {
    pendingQueries.computeIfAbsent(key, k -> new ArrayList<>()).addAll(callbacks);
  }

  private NavigableMap<String, List<Consumer<Outcome>>> takePending() {
    NavigableMap<String, List<Consumer<Outcome>>> taken = pendingQueries;
    pendingQueries = new TreeMap<>();
    return taken;
  }

  private void enqueueRead() {
    if (readEnqueued || pendingQueries.isEmpty()) {
      return;
    }
    readEnqueued = true; // set first, because enqueueRead may call sendRead immediately
    if (!store.enqueueRead(this::sendRead)) {
      readEnqueued = false;
      completeAll(takePending(), new Unavailable());
    }
  }

  private void sendRead() {
    readEnqueued = false;
    NavigableMap<String, List<Consumer<Outcome>>> queries = takePending();
    String pageStart = pageStart(queries);
    int pageSize =
        Math.min(KeyValueClient.MAX_PAGE_ENTRIES, ENTRIES_PER_PENDING_JOB * queries.size());
    store.list(
        StateKeys.FINISHED_PREFIX,
        keyBefore(pageStart),
        pageSize,
        result -> onResult(queries, pageStart, result));
  }

  private String pageStart(NavigableMap<String, List<Consumer<Outcome>>> queries) {
    String next = queries.ceilingKey(nextPageStart);
    return next != null ? next : queries.firstKey();
  }

  /** Returns a key that sorts before the given key, but after all other keys before it. */
  private static String keyBefore(String key) {
    int last = key.length() - 1;
    return key.substring(0, last) + (char) (key.charAt(last) - 1) + AFTER_DIGITS;
  }

  private void onResult(
      NavigableMap<String, List<Consumer<Outcome>>> queries, String pageStart, ListResult result) {
    if (result instanceof ListResult.Listed listed) {
      onPage(queries, pageStart, listed.page());
    } else {
      completeAll(queries, new Unavailable());
    }
  }

  private void onPage(
      NavigableMap<String, List<Consumer<Outcome>>> queries,
      String pageStart,
      KeyValueProtocol.Listing page) {
    Map<String, Outcome> outcomes = new HashMap<>();
    String pageEnd = pageStart;
    for (KeyValueProtocol.Entry entry : page.entries()) {
      outcomes.put(entry.key(), outcome(entry));
      pageEnd = entry.key();
    }
    boolean lastPage = !page.hasMore();
    nextPageStart = lastPage ? "" : pageEnd;
    for (Map.Entry<String, List<Consumer<Outcome>>> query : queries.entrySet()) {
      String key = query.getKey();
      boolean withinPage =
          key.compareTo(pageStart) >= 0 && (lastPage || key.compareTo(pageEnd) <= 0);
      if (withinPage) {
        complete(query.getValue(), outcomes.getOrDefault(key, new NotFinished()));
      } else {
        addPending(key, query.getValue());
      }
    }
    enqueueRead();
  }

  private Outcome outcome(KeyValueProtocol.Entry entry) {
    try {
      FinishedJobRecord end = RecordCodec.decodeFinishedJob(entry.value());
      cache(entry.key().substring(StateKeys.FINISHED_PREFIX.length()), end);
      return new Finished(end);
    } catch (UnreadableRecordException e) {
      LOG.atError()
          .addKeyValue("key", entry.key())
          .addKeyValue("reason", e.getMessage())
          .log("unreadable value at state key");
      return new Unavailable();
    }
  }

  private static void completeAll(Map<String, List<Consumer<Outcome>>> queries, Outcome outcome) {
    queries.values().forEach(callbacks -> complete(callbacks, outcome));
  }

  private static void complete(List<Consumer<Outcome>> callbacks, Outcome outcome) {
    callbacks.forEach(callback -> callback.accept(outcome));
  }
}
