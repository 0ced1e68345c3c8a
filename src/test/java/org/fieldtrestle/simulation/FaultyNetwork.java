package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fieldtrestle.transport.Http;

/** A network that delays, loses, repeats and holds back messages, as the protocol describes. */
final class FaultyNetwork {
  private final SimulatedTime time;
  private final Map<String, Http.Handler> servers = new HashMap<>();
  private final Map<String, String> zones = new HashMap<>();
  private final Map<String, Long> partitionedUntilMs = new HashMap<>();
  private final Map<String, Long> slowByMs = new HashMap<>();
  private final Map<String, Long> slowUntilMs = new HashMap<>();
  private double lateRequests;
  private double lateCommands;
  private double lostAnswers;
  private double repeatedHeartbeats;
  private int copiesOfEach = 1;
  private List<String> copyTargets = List.of();
  private int maxAnswerBytes = Integer.MAX_VALUE;
  private int tooLargeAnswers;
  private long sentAtMs;

  /** A request on its way; {@code done} is called once, with the first outcome. */
  @SuppressWarnings("ArrayRecordComponent") // calls are never compared
  private record Call(
      String fromZone,
      BooleanSupplier callerAlive,
      String address,
      String method,
      String path,
      byte[] body,
      long sentAtMs,
      Consumer<Http.Outcome> done) {}

  FaultyNetwork(SimulatedTime time) {
    this.time = time;
  }

  // ---- servers

  void serve(String address, String zone, Http.Handler handler) {
    servers.put(address, handler);
    zones.put(address, zone);
  }

  boolean serves(String address) {
    return servers.containsKey(address);
  }

  void stop(String address) {
    servers.remove(address);
  }

  // ---- faults

  /** This share of requests arrives only long after their senders have given up. */
  void delayRequests(double share) {
    lateRequests = share;
  }

  /** This share of direct commands arrives only long after their senders have given up. */
  void delayCommands(double share) {
    lateCommands = share;
  }

  /** This share of answers is lost. */
  void loseAnswers(double share) {
    lostAnswers = share;
  }

  boolean losesAnswers() {
    return lostAnswers != 0;
  }

  /** Copies of this share of heartbeats arrive again, long after, at any controller. */
  void repeatHeartbeats(double share, int copies) {
    repeatedHeartbeats = share;
    copiesOfEach = copies;
  }

  /** Sets the addresses that copies of heartbeats go to. */
  void copiesGoTo(List<String> addresses) {
    copyTargets = addresses;
  }

  /** Answers with a larger body never arrive whole: the caller closes the connection. */
  void limitAnswers(int maxBytes) {
    maxAnswerBytes = maxBytes;
  }

  /** How many answers were too large. */
  int tooLargeAnswers() {
    return tooLargeAnswers;
  }

  /** Two zones do not reach each other for a while. */
  void partition(String zone, String other, long forMs) {
    partitionedUntilMs.put(zone + "|" + other, time.now() + forMs);
    partitionedUntilMs.put(other + "|" + zone, time.now() + forMs);
  }

  /** Requests to an address take this much longer for a while. */
  void slow(String address, long byMs, long forMs) {
    slowByMs.put(address, byMs);
    slowUntilMs.put(address, time.now() + forMs);
  }

  private long slownessMs(String address) {
    return time.now() < slowUntilMs.getOrDefault(address, 0L) ? slowByMs.get(address) : 0;
  }

  private long partitionedForMs(String fromZone, String address) {
    String to = zones.getOrDefault(address, "");
    return Math.max(0, partitionedUntilMs.getOrDefault(fromZone + "|" + to, 0L) - time.now());
  }

  // ---- calls

  /** Sends a request; {@code callerAlive} says whether its sender still takes the outcome. */
  void call(
      String fromZone,
      BooleanSupplier callerAlive,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Http.Outcome> done) {
    Call call =
        new Call(fromZone, callerAlive, address, method, path, body, time.now(), once(done));
    long partitionedForMs = partitionedForMs(fromZone, address);
    if (partitionedForMs > 0) {
      callAcrossPartition(call, partitionedForMs, timeoutMs);
    } else if (!serves(address)) {
      complete(call, 1, new Http.NotSent("refused"));
    } else {
      complete(call, timeoutMs, new Http.Unknown("timeout"));
      repeat(call);
      send(call, timeoutMs);
    }
  }

  /** Returns a callback that takes the first outcome and drops all others. */
  static <T> Consumer<T> once(Consumer<T> done) {
    boolean[] completed = {false};
    return outcome -> {
      if (!completed[0]) {
        completed[0] = true;
        done.accept(outcome);
      }
    };
  }

  private void complete(Call call, long afterMs, Http.Outcome outcome) {
    time.after(afterMs, call.callerAlive(), () -> call.done().accept(outcome));
  }

  private void callAcrossPartition(Call call, long partitionedForMs, long timeoutMs) {
    boolean connectionOpen = time.chance(0.5);
    if (connectionOpen) { // the request is held, and delivered once the partition is over
      deliverLate(call, call.address(), partitionedForMs + time.between(1, 200));
      complete(call, timeoutMs, new Http.Unknown("timeout"));
    } else {
      complete(call, timeoutMs, new Http.NotSent("timeout"));
    }
  }

  private void repeat(Call call) {
    if (call.path().equals("/hello") && time.chance(repeatedHeartbeats)) {
      for (int i = 0; i < copiesOfEach; i++) {
        String to = copyTargets.get((int) time.between(0, copyTargets.size() - 1));
        deliverLate(call, to, time.between(1000, 60_000));
      }
    }
  }

  private void send(Call call, long timeoutMs) {
    if (time.chance(lateRequests)
        || (lateCommands > 0 && call.path().equals("/commands") && time.chance(lateCommands))) {
      deliverLate(call, call.address(), time.between(timeoutMs, timeoutMs * 10));
      return;
    }
    boolean answerLost = time.chance(lostAnswers);
    time.after(
        time.between(1, 6) + slownessMs(call.address()),
        () -> deliver(call, call.address(), response -> receiveAnswer(call, response, answerLost)));
  }

  private void receiveAnswer(Call call, Http.Response response, boolean lost) {
    if (response.body().length > maxAnswerBytes) {
      tooLargeAnswers++;
      complete(call, 5, new Http.Unknown("closed"));
    } else if (!lost && partitionedForMs(call.fromZone(), call.address()) == 0) {
      complete(call, time.between(1, 6), new Http.Answer(response.status(), response.body()));
    }
  }

  // ---- deliveries

  /** When the request that is being handled was sent; its handler may keep it for later. */
  long sentAtMs() {
    return sentAtMs;
  }

  /** Delivers a request now; its answer is handed over as it is given. */
  void deliver(
      String address, String method, String path, byte[] body, Consumer<Http.Response> reply) {
    deliver(time.now(), address, method, path, body, reply);
  }

  private void deliverLate(Call call, String address, long afterMs) {
    time.after(afterMs, () -> deliver(call, address, response -> {}));
  }

  private void deliver(Call call, String address, Consumer<Http.Response> reply) {
    deliver(call.sentAtMs(), address, call.method(), call.path(), call.body(), reply);
  }

  private void deliver(
      long requestSentAtMs,
      String address,
      String method,
      String path,
      byte[] body,
      Consumer<Http.Response> reply) {
    Http.Handler server = servers.get(address);
    if (server == null) {
      return;
    }
    sentAtMs = requestSentAtMs;
    int mark = path.indexOf('?');
    server.handle(
        new Http.Request(
            method, mark < 0 ? path : path.substring(0, mark), query(path, mark), body),
        reply);
  }

  private static Map<String, String> query(String path, int mark) {
    Map<String, String> query = new LinkedHashMap<>();
    if (mark >= 0) {
      for (String pair : path.substring(mark + 1).split("&", -1)) {
        int equals = pair.indexOf('=');
        query.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return query;
  }
}
