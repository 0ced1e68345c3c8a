package org.fieldtrestle.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fieldtrestle.transport.Http;

/** The target of a request: its path and the parameters behind it. */
record RequestTarget(String path, Map<String, String> query) {
  /** Splits a target such as {@code /kv?prefix=a}; the values are not encoded. */
  static RequestTarget parse(String target) {
    Map<String, String> query = new LinkedHashMap<>();
    int queryStart = target.indexOf('?');
    if (queryStart < 0) {
      return new RequestTarget(target, query);
    }
    for (String pair : target.substring(queryStart + 1).split("&", -1)) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return new RequestTarget(target.substring(0, queryStart), query);
  }

  /** Returns a request to this target. */
  Http.Request request(String method, byte[] body) {
    return new Http.Request(method, path, query, body);
  }
}
