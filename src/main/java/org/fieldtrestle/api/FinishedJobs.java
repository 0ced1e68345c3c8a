package org.fieldtrestle.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * How jobs ended: remembered here for some of them, read from the state service for all others.
 *
 * <p>After a restart users ask about more ended jobs, and about more that never were, than could be
 * read one by one within their patience. So a reading is a page of all ends from one job on: it
 * decides about every job asked about that lies within the page. The next page begins where this
 * one ended, so that each job has its turn whatever others are asked about.
 *
 * <p>Who asks never shares a reading that was sent before: the job may have been accepted and have
 * ended since.
 */
final class FinishedJobs {
  private static final Logger LOG = LoggerFactory.getLogger(FinishedJobs.class);

  /** Ended jobs that are remembered; all others are read again. */
  private static final int MAX_REMEMBERED = 20_000;

  /** Jobs that wait to be asked about; about more there is no answer. */
  private static final int MAX_WAITING = 4096;

  /** Ends that are read for each job that waits, as others lie between them. */
  private static final int PAGE_FOR_EACH = 2;

  /** What is known of how a job ended. */
  sealed interface Outcome {}

  /** It has ended like this. */
  record Ended(FinishedJobRecord end) implements Outcome {}

  /** It had not ended when the question came, or was never accepted. */
  record NotEnded() implements Outcome {}

  /** That could not be found out. */
  record Unavailable() implements Outcome {}

  private final KeyValueClient store;
  private final BoundedCache<String, FinishedJobRecord> remembered =
      new BoundedCache<>(MAX_REMEMBERED);

  /** Who asks about jobs that no reading has been sent for yet, by the keys of their ends. */
  private TreeMap<String, List<Consumer<Outcome>>> waiting = new TreeMap<>();

  private boolean queued;
  private String nextFrom = "";

  FinishedJobs(KeyValueClient store) {
    this.store = store;
  }

  /** How a job ended, as far as that is remembered; null where it is not. */
  FinishedJobRecord remembered(String job) {
    return remembered.get(job);
  }

  /** Remembers an end that is durable. */
  void remember(String job, FinishedJobRecord end) {
    remembered.put(job, end);
  }

  /** Finds out from the state service whether and how a job has ended. */
  void read(String job, Consumer<Outcome> done) {
    String key = StateKeys.finished(job);
    if (!waiting.containsKey(key) && waiting.size() >= MAX_WAITING) {
      done.accept(new Unavailable());
      return;
    }
    waiting.computeIfAbsent(key, k -> new ArrayList<>()).add(done);
    queue();
  }

  private void queue() {
    if (queued || waiting.isEmpty()) {
      return;
    }
    queued = true; // before it is sent, which may be at once
    if (!store.enqueueRead(this::send)) {
      queued = false;
      TreeMap<String, List<Consumer<Outcome>>> refused = waiting;
      waiting = new TreeMap<>();
      refused.values().forEach(askers -> tell(askers, new Unavailable()));
    }
  }

  private void send() {
    queued = false;
    TreeMap<String, List<Consumer<Outcome>>> asked = waiting;
    waiting = new TreeMap<>();
    String first = asked.ceilingKey(nextFrom);
    if (first == null) {
      first = asked.firstKey();
    }
    String from = first;
    store.list(
        StateKeys.FINISHED_PREFIX,
        justBefore(from),
        Math.min(KeyValueClient.MAX_PAGE, PAGE_FOR_EACH * asked.size()),
        result -> received(asked, from, result));
  }

  /**
   * Sorts before a key and after all others that do: keys end in digits, which sort before the
   * tilde.
   */
  private static String justBefore(String key) {
    int last = key.length() - 1;
    return key.substring(0, last) + (char) (key.charAt(last) - 1) + "~";
  }

  private void received(
      TreeMap<String, List<Consumer<Outcome>>> asked, String from, ListResult result) {
    if (!(result instanceof ListResult.Listed listed)) {
      asked.values().forEach(askers -> tell(askers, new Unavailable()));
      return;
    }
    KeyValueProtocol.Listing page = listed.page();
    Map<String, Outcome> ends = new HashMap<>();
    String last = from;
    for (KeyValueProtocol.Entry entry : page.entries()) {
      ends.put(entry.key(), outcome(entry));
      last = entry.key();
    }
    boolean toTheEnd = !page.more();
    nextFrom = toTheEnd ? "" : last;
    for (Map.Entry<String, List<Consumer<Outcome>>> one : asked.entrySet()) {
      boolean within =
          one.getKey().compareTo(from) >= 0 && (toTheEnd || one.getKey().compareTo(last) <= 0);
      if (within) {
        tell(one.getValue(), ends.getOrDefault(one.getKey(), new NotEnded()));
      } else {
        waiting.computeIfAbsent(one.getKey(), k -> new ArrayList<>()).addAll(one.getValue());
      }
    }
    queue();
  }

  private Outcome outcome(KeyValueProtocol.Entry entry) {
    try {
      FinishedJobRecord end = RecordCodec.decodeFinishedJob(entry.value());
      remember(entry.key().substring(StateKeys.FINISHED_PREFIX.length()), end);
      return new Ended(end);
    } catch (UnreadableRecordException e) {
      LOG.error("unreadable value at state key {}: {}", entry.key(), e.getMessage());
      return new Unavailable();
    }
  }

  private static void tell(List<Consumer<Outcome>> askers, Outcome outcome) {
    askers.forEach(asker -> asker.accept(outcome));
  }
}
