package org.fieldtrestle.simulation;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.fieldtrestle.transport.Http;

/** A network that delays, loses, holds and cuts, as the protocol says of the real one. */
final class FaultyNetwork {
  private final SimulatedTime time;
  private final Map<String, Http.Handler> servers = new HashMap<>();
  private final Map<String, String> zones = new HashMap<>();
  private final Map<String, Long> cutUntil = new HashMap<>();
  private final Map<String, Long> slowBy = new HashMap<>();
  private final Map<String, Long> slowUntil = new HashMap<>();

  /** Share of requests that arrive only long after their sender has given up. */
  double late;

  /** Share of direct commands that do so. */
  double lateCommands;

  /** Share of answers that are lost. */
  double lost;

  /** Share of workers' reports of which copies come again, long after, to any controller. */
  double copies;

  /** How many copies come of each of these. */
  int copiesEach = 1;

  /** Where copies of reports go. */
  List<String> controllers = List.of();

  /** Answers with a larger body never arrive whole: the caller closes the connection. */
  int largestAnswer = Integer.MAX_VALUE;

  /** How many answers were too large. */
  int tooLarge;

  private long sentAt;

  FaultyNetwork(SimulatedTime time) {
    this.time = time;
  }

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

  void cut(String zone, String other, long forMs) {
    cutUntil.put(zone + "|" + other, time.now() + forMs);
    cutUntil.put(other + "|" + zone, time.now() + forMs);
  }

  /** Requests to an address take this much longer for a while. */
  void slow(String address, long byMs, long forMs) {
    slowBy.put(address, byMs);
    slowUntil.put(address, time.now() + forMs);
  }

  private long slowness(String address) {
    return time.now() < slowUntil.getOrDefault(address, 0L) ? slowBy.get(address) : 0;
  }

  private long cutFor(String fromZone, String address) {
    String to = zones.getOrDefault(address, "");
    return Math.max(0, cutUntil.getOrDefault(fromZone + "|" + to, 0L) - time.now());
  }

  /** A call whose caller may die meanwhile. */
  void call(
      String fromZone,
      BooleanSupplier alive,
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Http.Outcome> done) {
    boolean[] over = {false};
    Consumer<Http.Outcome> once =
        outcome -> {
          if (!over[0]) {
            over[0] = true;
            done.accept(outcome);
          }
        };
    long sent = time.now();
    long cut = cutFor(fromZone, address);
    if (cut > 0) {
      if (time.chance(0.5)) { // on an open connection: held, and delivered once the cut is over
        time.after(
            cut + time.between(1, 200), () -> deliver(sent, address, method, path, body, r -> {}));
        time.after(timeoutMs, alive, () -> once.accept(new Http.Unknown("timeout")));
      } else {
        time.after(timeoutMs, alive, () -> once.accept(new Http.NotSent("timeout")));
      }
      return;
    }
    if (!servers.containsKey(address)) {
      time.after(1, alive, () -> once.accept(new Http.NotSent("refused")));
      return;
    }
    time.after(timeoutMs, alive, () -> once.accept(new Http.Unknown("timeout")));
    if (path.equals("/hello") && time.chance(copies)) {
      for (int i = 0; i < copiesEach; i++) {
        String to = controllers.get((int) time.between(0, controllers.size() - 1));
        time.after(
            time.between(1000, 60_000),
            () -> deliver(sent, to, method, path, body, response -> {}));
      }
    }
    if (time.chance(late)
        || lateCommands > 0 && path.equals("/commands") && time.chance(lateCommands)) {
      time.after(
          time.between(timeoutMs, timeoutMs * 10),
          () -> deliver(sent, address, method, path, body, r -> {}));
      return;
    }
    boolean answerLost = time.chance(lost);
    time.after(
        time.between(1, 6) + slowness(address),
        () ->
            deliver(
                sent,
                address,
                method,
                path,
                body,
                response -> {
                  if (response.body().length > largestAnswer) {
                    tooLarge++;
                    time.after(5, alive, () -> once.accept(new Http.Unknown("closed")));
                  } else if (!answerLost && cutFor(fromZone, address) == 0) {
                    time.after(
                        time.between(1, 6),
                        alive,
                        () -> once.accept(new Http.Answer(response.status(), response.body())));
                  }
                }));
  }

  /** When the request that is being handled was sent; its handler may keep it for later. */
  long sentAt() {
    return sentAt;
  }

  /** A request that arrives now, and whose answer is handed over as it is given. */
  void deliver(
      String address, String method, String path, byte[] body, Consumer<Http.Response> reply) {
    deliver(time.now(), address, method, path, body, reply);
  }

  private void deliver(
      long sent,
      String address,
      String method,
      String path,
      byte[] body,
      Consumer<Http.Response> reply) {
    Http.Handler server = servers.get(address);
    if (server == null) {
      return;
    }
    sentAt = sent;
    int mark = path.indexOf('?');
    Map<String, String> query = new LinkedHashMap<>();
    if (mark >= 0) {
      for (String pair : path.substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        query.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    server.handle(
        new Http.Request(method, mark < 0 ? path : path.substring(0, mark), query, body), reply);
  }
}
