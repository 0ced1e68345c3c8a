package org.fieldtrestle.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fieldtrestle.protocol.Json;
import org.fieldtrestle.protocol.MalformedJsonException;

/**
 * Writes and reads the fields of the records of shards and of running controllers. Earlier versions
 * of this program neither write nor read the former leaders and the followed revision.
 */
final class LeadershipCodec {
  private static final String LEADER = "holder";
  private static final String FORMER_LEADERS = "former";
  private static final String BOOT_ID = "boot";
  private static final String FOLLOWED_REVISION = "followed";

  private LeadershipCodec() {}

  static ObjectNode write(ShardRecord shard, ObjectNode json) {
    json.put(LEADER, shard.leader());
    shard
        .formerLeaders()
        .ifPresent(
            labels -> {
              ArrayNode former = json.putArray(FORMER_LEADERS);
              labels.forEach(former::add);
            });
    return json;
  }

  static ShardRecord readShard(JsonNode json) throws MalformedJsonException {
    String leader = Json.text(json, LEADER);
    return json.has(FORMER_LEADERS)
        ? new ShardRecord(leader, readLabels(json.path(FORMER_LEADERS)))
        : new ShardRecord(leader, Optional.empty());
  }

  private static List<String> readLabels(JsonNode array) throws MalformedJsonException {
    if (!array.isArray()) {
      throw new MalformedJsonException(FORMER_LEADERS);
    }
    List<String> labels = new ArrayList<>();
    for (JsonNode label : array) {
      if (!label.isTextual()) {
        throw new MalformedJsonException(FORMER_LEADERS);
      }
      labels.add(label.textValue());
    }
    return labels;
  }

  static ObjectNode write(MemberRecord member, ObjectNode json) {
    json.put(BOOT_ID, member.bootId());
    if (member.followedRevision() > 0) {
      json.put(FOLLOWED_REVISION, member.followedRevision());
    }
    return json;
  }

  static MemberRecord readMember(JsonNode json) throws MalformedJsonException {
    String bootId = Json.text(json, BOOT_ID);
    return new MemberRecord(
        bootId, json.has(FOLLOWED_REVISION) ? Json.count(json, FOLLOWED_REVISION) : 0);
  }
}
