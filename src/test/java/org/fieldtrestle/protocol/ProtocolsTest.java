package org.fieldtrestle.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Reading of users' and workers' messages and of peer frames; refusals name the invalid field. */
class ProtocolsTest {
  private static ObjectNode job() {
    return Json.object()
        .put("uid", "job-000412")
        .put("lot", "train")
        .put("crew", "vision")
        .put("cut", "array")
        .put("urgency", "urgent")
        .put("boards", 16)
        .put("cpus", 8.0)
        .put("gpus", 1.0)
        .put("memoryGb", 64.0)
        .put("blueprint", "img-07")
        .put("pullGb", 6.2)
        .put("together", true)
        .put("scatter", false)
        .put("loaners", true)
        .put("expectedS", 240.0)
        .put("tallyS", 30.0)
        .put("stackS", 4.0);
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void missingFieldsAreNamedAndInvalidOnesAreRefused() throws MalformedJsonException {
    assertEquals(16, UserProtocol.readJob(Json.bytes(job())).tasks());
    job()
        .fieldNames()
        .forEachRemaining(
            field -> {
              ObjectNode without = job();
              without.remove(field);
              MalformedJsonException error =
                  assertThrows(
                      MalformedJsonException.class,
                      () -> UserProtocol.readJob(Json.bytes(without)),
                      field);
              assertEquals(field, error.getMessage());
              for (Object bad : new Object[] {"", -1, List.of()}) {
                ObjectNode wrong = job();
                wrong.putPOJO(field, bad);
                assertThrows(
                    MalformedJsonException.class,
                    () -> UserProtocol.readJob(Json.bytes(wrong)),
                    field + " " + bad);
              }
            });
  }

  @Test
  void nullMeansAbsentAndUnknownFieldsAreIgnored() throws MalformedJsonException {
    ObjectNode node = job().putNull("rigs").putNull("yard").putNull("dueS").put("extra", 5);
    JobSpec spec = UserProtocol.readJob(Json.bytes(node));
    assertEquals(List.of(), spec.types());
    assertEquals(-1, spec.deadlineS());
    assertEquals(spec, UserProtocol.readJob(Json.bytes(JobSpecCodec.write(spec))));
  }

  @Test
  void countsAreWholeAndBounded() {
    for (String boards : new String[] {"0", "100001", "1.5", "99999999999999999999", "true"}) {
      String text =
          new String(Json.bytes(job()), StandardCharsets.UTF_8)
              .replace("\"boards\":16", "\"boards\":" + boards);
      assertThrows(MalformedJsonException.class, () -> UserProtocol.readJob(utf8(text)), boards);
    }
    String infinite =
        new String(Json.bytes(job()), StandardCharsets.UTF_8)
            .replace("\"cpus\":8.0", "\"cpus\":1e400");
    assertThrows(MalformedJsonException.class, () -> UserProtocol.readJob(utf8(infinite)));
    for (String body : new String[] {"", "[]", "7", "{", "{}x", "null", "\"a\"", "{\"uid\":"}) {
      assertThrows(MalformedJsonException.class, () -> UserProtocol.readJob(utf8(body)), body);
    }
  }

  @Property(tries = 500, seed = "41")
  void readersRefuseArbitraryBytesOnlyWithTheirOwnExceptions(@ForAll byte[] bytes) {
    try {
      UserProtocol.readJob(bytes);
    } catch (MalformedJsonException e) {
      assertTrue(e.getMessage() != null);
    }
    try {
      WorkerProtocol.readHeartbeat(bytes);
    } catch (MalformedJsonException e) {
      assertTrue(e.getMessage() != null);
    }
    try {
      PeerProtocol.decode(ByteBuffer.wrap(bytes));
    } catch (MalformedFrameException e) {
      assertTrue(e.getMessage() != null);
    }
  }

  @Property(tries = 300, seed = "42")
  void framesAreReadAsWrittenAndTruncatedFramesAreRefused(
      @ForAll @AlphaChars @StringLength(min = 1, max = 20) String sender,
      @ForAll @LongRange(min = 0) long epoch,
      @ForAll @DoubleRange(min = 0, max = 1e9) double amount,
      @ForAll @IntRange(max = 10) int zones)
      throws MalformedFrameException {
    List<FreeCapacity> all = new ArrayList<>();
    for (int i = 0; i < zones; i++) {
      all.add(new FreeCapacity("zone-" + i, amount, i, amount / 2));
    }
    PeerMessage.ShardLoad load =
        new PeerMessage.ShardLoad(sender, "m", epoch, amount, amount * 2, all);
    ByteBuffer frame = PeerProtocol.encode(epoch / 3, load);
    assertEquals(frame.remaining() - 4, frame.getInt());
    byte[] body = new byte[frame.remaining()];
    frame.get(body);
    assertEquals(new PeerFrame(epoch / 3, load), PeerProtocol.decode(ByteBuffer.wrap(body)));
    for (int cut = 0; cut < body.length; cut++) {
      ByteBuffer shorter = ByteBuffer.wrap(body, 0, cut);
      assertThrows(MalformedFrameException.class, () -> PeerProtocol.decode(shorter));
    }
  }

  @Test
  void smallFramesAreReadAsWritten() throws MalformedFrameException {
    for (PeerMessage message :
        List.of(
            new PeerMessage.Liveness("trestle-2", true),
            new PeerMessage.Liveness("trestle-2", false),
            new PeerMessage.JobCancelled("trestle-2", "job-000412"),
            new PeerMessage.RedirectCount("trestle-2", "trestle-0", 0),
            new PeerMessage.RedirectCount("trestle-2", "trestle-0", 2078))) {
      ByteBuffer frame = PeerProtocol.encode(17, message);
      assertEquals(frame.remaining() - 4, frame.getInt());
      assertEquals(new PeerFrame(17, message), PeerProtocol.decode(frame));
    }
    ByteBuffer wrong =
        PeerProtocol.encode(17, new PeerMessage.RedirectCount("trestle-2", "trestle-0", -1));
    wrong.getInt();
    assertThrows(MalformedFrameException.class, () -> PeerProtocol.decode(wrong));
  }

  private static final String HEARTBEAT =
      """
      {"bench":"host-1","address":"10.1.0.2:9000","rig":"g8","yard":"a","loaners":true,"shift":1,\
      "tally":88,"warrant":41,"recallS":1.5,"newer":{"deep":[{"boards":[1]}]},"boards":[{"more":[{}],\
      "board":"job-1/2","try":3,"stage":"exited","cause":"done"}]}""";

  @Test
  void truncatedAndDamagedHeartbeatsAreRefusedWithTheNameOfTheField()
      throws MalformedJsonException {
    assertEquals(1, WorkerProtocol.readHeartbeat(utf8(HEARTBEAT)).tasks().size());
    for (int cut = 0; cut < HEARTBEAT.length(); cut++) {
      byte[] shorter = utf8(HEARTBEAT.substring(0, cut));
      assertThrows(
          MalformedJsonException.class,
          () -> WorkerProtocol.readHeartbeat(shorter),
          "cut at " + cut);
    }
    String[][] damages = {
      {"\"host-1\"", "7", "bench"},
      {"\"host-1\"", "\"a b\"", "bench"},
      {"\"10.1.0.2:9000\"", "\"here\"", "address"},
      {"\"g8\"", "{\"rig\":\"g8\"}", "rig"},
      {"\"loaners\":true", "\"loaners\":\"true\"", "loaners"},
      {"\"shift\":1", "\"shift\":-1", "shift"},
      {"\"tally\":88", "\"tally\":8.5", "tally"},
      {"\"warrant\":41", "\"warrant\":99999999999999999999", "warrant"},
      {"\"recallS\":1.5", "\"recallS\":-1", "recallS"},
      {"\"boards\":[{\"more\"", "\"boards\":[7,{\"more\"", "boards"},
      {"\"try\":3,", "", "try"},
      {"\"stage\":\"exited\"", "\"stage\":null", "stage"},
      {"job-1/2", "job-1", "task"}
    };
    for (String[] damage : damages) {
      String text = HEARTBEAT.replace(damage[0], damage[1]);
      MalformedJsonException refused =
          assertThrows(
              MalformedJsonException.class, () -> WorkerProtocol.readHeartbeat(utf8(text)), text);
      assertEquals(damage[2], refused.getMessage(), text);
    }
    assertThrows(
        MalformedJsonException.class, () -> WorkerProtocol.readHeartbeat(utf8(HEARTBEAT + "x")));
    Heartbeat unusualCause =
        WorkerProtocol.readHeartbeat(
            utf8(HEARTBEAT.replace("\"cause\":\"done\"", "\"cause\":{\"a\":[1]}")));
    assertEquals(ExitCause.NONE, unusualCause.tasks().get(0).cause());
  }

  @Property(tries = 200, seed = "43")
  void heartbeatsAreReadWithAllTheirTasks(
      @ForAll @LongRange(min = 0, max = 1L << 60) long token,
      @ForAll @Size(max = 20) List<@IntRange(max = 99_999) Integer> indexes)
      throws MalformedJsonException {
    ObjectNode heartbeat =
        Json.object()
            .put("bench", "host-000231")
            .put("address", "10.1.0.232:9000")
            .put("rig", "g8")
            .put("yard", "a")
            .put("loaners", true)
            .put("shift", 1)
            .put("tally", 88)
            .put("warrant", token)
            .putNull("recallS");
    var list = heartbeat.putArray("boards");
    for (int index : indexes) {
      list.addObject()
          .put("board", "job-000412/" + index)
          .put("try", 2)
          .put("stage", "exited")
          .put("cause", "done");
    }
    Heartbeat read = WorkerProtocol.readHeartbeat(Json.bytes(heartbeat));
    assertEquals(token, read.fencingToken());
    assertEquals(indexes, read.tasks().stream().map(t -> t.task().index()).toList());
    assertTrue(read.tasks().stream().allMatch(t -> t.cause() == ExitCause.DONE));
  }
}
