package org.fieldtrestle.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Peer frames and messages are byte for byte the same as those of the previous version. */
class ProtocolCompatibilityTest {
  private static final long SENT_WALL_MS = 1_790_000_000_123L;
  private static final TaskId TASK = new TaskId("job-000412", 4);

  private static Map<String, PeerMessage> peerMessages() {
    Map<String, PeerMessage> all = new LinkedHashMap<>();
    all.put(
        "shard-load",
        new PeerMessage.ShardLoad(
            "trestle-0",
            "trestle-1",
            41,
            12.5,
            960,
            List.of(new FreeCapacity("a", 8, 1, 64), new FreeCapacity("b", 0.5, 0, 2.25))));
    all.put(
        "shard-load-without-room",
        new PeerMessage.ShardLoad("trestle-0", "trestle-0", 1, 0, 0, List.of()));
    all.put("liveness-served", new PeerMessage.Liveness("trestle-2", true));
    all.put("liveness-not-served", new PeerMessage.Liveness("trestle-2", false));
    all.put("redirect-count", new PeerMessage.RedirectCount("trestle-2", "trestle-0", 2078));
    all.put("job-cancelled", new PeerMessage.JobCancelled("trestle-2", "job-000412"));
    return all;
  }

  @Test
  void peerFramesAreReadAndWrittenAsBefore() throws Exception {
    Map<String, String> frames = CompatibilityFixture.read("peer-frames.txt");
    Map<String, PeerMessage> messages = peerMessages();
    assertEquals(frames.keySet(), messages.keySet());
    for (Map.Entry<String, PeerMessage> expected : messages.entrySet()) {
      byte[] frame = HexFormat.of().parseHex(frames.get(expected.getKey()));
      ByteBuffer body = ByteBuffer.wrap(frame, Integer.BYTES, frame.length - Integer.BYTES);
      assertEquals(new PeerFrame(SENT_WALL_MS, expected.getValue()), PeerProtocol.decode(body));
      ByteBuffer written = PeerProtocol.encode(SENT_WALL_MS, expected.getValue());
      assertEquals(ByteBuffer.wrap(frame), written, expected.getKey());
    }
  }

  @Test
  void messagesAreWrittenAsBefore() throws IOException {
    Map<String, String> written = new LinkedHashMap<>();
    putWorkerMessages(written);
    putStoreMessages(written);
    putUserMessages(written);
    putCloudMessages(written);
    assertEquals(CompatibilityFixture.read("messages.txt"), written);
  }

  private static void putWorkerMessages(Map<String, String> written) {
    List<WorkerCommand> commands =
        List.of(
            new WorkerCommand.Start(TASK, 2),
            new WorkerCommand.Stop(new TaskId("job-000377", 1), 1, 10),
            new WorkerCommand.Stop(new TaskId("job-000377", 2), 1, 0),
            new WorkerCommand.Clear(new TaskId("job-000398", 0), 1));
    written.put("heartbeat-answer", text(WorkerProtocol.writeHeartbeatAnswer(41, commands)));
    written.put(
        "heartbeat-answer-without-commands",
        text(WorkerProtocol.writeHeartbeatAnswer(41, List.of())));
    written.put("commands", text(WorkerProtocol.writeCommands(41, 3, commands)));
    written.put("redirect", text(WorkerProtocol.writeRedirect("trestle-2")));
    written.put("redirect-unknown", text(WorkerProtocol.writeRedirect(null)));
  }

  private static void putStoreMessages(Map<String, String> written) {
    KeyValueProtocol.Condition atVersion =
        new KeyValueProtocol.Condition("ft/live/master/trestle-0", 7);
    KeyValueProtocol.Condition absent =
        new KeyValueProtocol.Condition("ft/live/stray/host-000231", 0);
    List<KeyValueProtocol.Change> changes =
        List.of(
            new KeyValueProtocol.Put("ft/live/member/trestle-0", Json.object().put("f", 1), 99),
            new KeyValueProtocol.Put("ft/live/quota/a", Json.object().put("f", 1), 0),
            new KeyValueProtocol.Delete("ft/live/job/job-000412"));
    written.put(
        "store-commit",
        text(KeyValueProtocol.writeTransaction(List.of(atVersion, absent), changes)));
    written.put(
        "store-compare", text(KeyValueProtocol.writeTransaction(List.of(atVersion), List.of())));
    written.put("store-lease", text(KeyValueProtocol.writeLeaseRequest(9000)));
    written.put("store-list-path", KeyValueProtocol.listPath("ft/live/", "", 1000));
    written.put(
        "store-list-path-after",
        KeyValueProtocol.listPath("ft/live/", "ft/live/job/job-000412", 1000));
    written.put("store-watch-path", KeyValueProtocol.watchPath("ft/live/", 431, 1500));
    written.put("store-renew-path", KeyValueProtocol.renewPath(99));
  }

  private static void putUserMessages(Map<String, String> written) {
    written.put("user-accepted", text(UserProtocol.writeAccepted("job-000412", JobStage.QUEUED)));
    written.put(
        "user-status", text(UserProtocol.writeStatus("job-000412", JobStage.RUNNING, 3, 13)));
    written.put("user-error", text(UserProtocol.writeError("crew")));
  }

  private static void putCloudMessages(Map<String, String> written) {
    written.put("cloud-rent", text(CloudProtocol.writeRentalRequest("req-1", "g8", "a", true, 3)));
    written.put(
        "cloud-return",
        text(CloudProtocol.writeReturnRequest(List.of("host-000001", "host-000002"))));
    written.put("cloud-list-path", CloudProtocol.listPath(""));
    written.put("cloud-list-path-after", CloudProtocol.listPath("host-000002"));
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }
}
