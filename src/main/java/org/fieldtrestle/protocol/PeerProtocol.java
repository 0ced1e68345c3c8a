package org.fieldtrestle.protocol;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * What controllers say to each other. A frame is a length (4 bytes, of what follows), a magic and
 * version (2 + 1), a kind (1), the sender's time of day (8) and a body. Nothing that a rule depends
 * on travels here: a lost, late or repeated frame costs time only.
 */
public final class PeerProtocol {
  public static final int MAX_FRAME = 16 * 1024;
  private static final short MAGIC = 0x4654;
  private static final byte VERSION = 2;
  private static final byte LOAD = 1;
  private static final byte PULSE = 2;
  private static final byte SENT_ON = 3;
  private static final byte CANCELLED = 4;
  private static final int MAX_ITEMS = 64;

  private PeerProtocol() {}

  public sealed interface Message {}

  /** A message and the sender's time of day: what a cut has held for long says nothing of now. */
  public record Frame(long sentWall, Message message) {}

  /** Room of one kind in a zone at one shard. */
  public record FreeCapacity(String zone, double cpus, double gpus, double memoryGb) {}

  /**
   * How one shard stands: its free room by zone, the CPUs that wait for room, and those of all its
   * machines, booting ones too.
   */
  public record ShardLoad(
      String sender,
      String shard,
      long epoch,
      double waitingCpus,
      double capacityCpus,
      List<FreeCapacity> rooms)
      implements Message {}

  /** That a controller is there, and whether the state service answers it. */
  public record Liveness(String sender, boolean served) implements Message {}

  /**
   * How many machines have lately reported to the sender and been sent on to another controller:
   * where that one hears nothing of them, it is cut off from its workers.
   */
  public record RedirectCount(String sender, String to, int machines) implements Message {}

  /** That a job is cancelled for good, once that is durable. */
  public record JobCancelled(String sender, String job) implements Message {}

  /** A frame that is not ours or was damaged. */
  public static final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    public MalformedFrameException(String message) {
      super(message);
    }
  }

  public static ByteBuffer encode(long wall, Message message) {
    ByteBuffer out = ByteBuffer.allocate(MAX_FRAME);
    out.putInt(0).putShort(MAGIC).put(VERSION).put(kind(message)).putLong(wall);
    if (message instanceof ShardLoad load) {
      putText(out, load.sender());
      putText(out, load.shard());
      out.putLong(load.epoch()).putDouble(load.waitingCpus()).putDouble(load.capacityCpus());
      int count = Math.min(load.rooms().size(), MAX_ITEMS);
      out.put((byte) count);
      for (FreeCapacity room : load.rooms().subList(0, count)) {
        putText(out, room.zone());
        out.putDouble(room.cpus()).putDouble(room.gpus()).putDouble(room.memoryGb());
      }
    }
    if (message instanceof Liveness pulse) {
      putText(out, pulse.sender());
      out.put((byte) (pulse.served() ? 1 : 0));
    }
    if (message instanceof RedirectCount sent) {
      putText(out, sent.sender());
      putText(out, sent.to());
      out.putInt(sent.machines());
    }
    if (message instanceof JobCancelled cancelled) {
      putText(out, cancelled.sender());
      putText(out, cancelled.job());
    }
    out.putInt(0, out.position() - 4);
    return out.flip();
  }

  private static byte kind(Message message) {
    if (message instanceof ShardLoad) {
      return LOAD;
    }
    if (message instanceof Liveness) {
      return PULSE;
    }
    return message instanceof RedirectCount ? SENT_ON : CANCELLED;
  }

  private static void putText(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(bytes.length, 100);
    out.put((byte) length).put(bytes, 0, length);
  }

  private static String getText(ByteBuffer in) {
    byte[] bytes = new byte[in.get() & 0xff];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Reads the body of one frame, without its length. */
  public static Frame decode(ByteBuffer in) throws MalformedFrameException {
    try {
      if (in.getShort() != MAGIC) {
        throw new MalformedFrameException("magic");
      }
      byte version = in.get();
      if (version != VERSION) {
        throw new MalformedFrameException("version " + version);
      }
      byte kind = in.get();
      long wall = in.getLong();
      Message message =
          switch (kind) {
            case LOAD -> readLoad(in);
            case PULSE -> new Liveness(getText(in), in.get() != 0);
            case SENT_ON -> new RedirectCount(getText(in), getText(in), count(in));
            case CANCELLED -> new JobCancelled(getText(in), getText(in));
            default -> throw new MalformedFrameException("kind " + kind);
          };
      if (in.hasRemaining()) {
        throw new MalformedFrameException("trailing bytes");
      }
      return new Frame(wall, message);
    } catch (BufferUnderflowException e) {
      throw new MalformedFrameException("short");
    }
  }

  private static ShardLoad readLoad(ByteBuffer in) throws MalformedFrameException {
    String sender = getText(in);
    String shard = getText(in);
    long epoch = in.getLong();
    double waiting = amount(in);
    double capacity = amount(in);
    int count = in.get();
    if (count < 0 || count > MAX_ITEMS) {
      throw new MalformedFrameException("count " + count);
    }
    List<FreeCapacity> rooms = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      rooms.add(new FreeCapacity(getText(in), amount(in), amount(in), amount(in)));
    }
    return new ShardLoad(sender, shard, epoch, waiting, capacity, List.copyOf(rooms));
  }

  private static int count(ByteBuffer in) throws MalformedFrameException {
    int value = in.getInt();
    if (value < 0) {
      throw new MalformedFrameException("count " + value);
    }
    return value;
  }

  private static double amount(ByteBuffer in) throws MalformedFrameException {
    double value = in.getDouble();
    if (!Double.isFinite(value) || value < 0) {
      throw new MalformedFrameException("amount");
    }
    return value;
  }
}
