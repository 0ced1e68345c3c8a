package org.fieldtrestle.protocol;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The protocol between controllers. A frame consists of the length of its remainder (4 bytes), a
 * magic number (2 bytes), a version (1 byte), a kind (1 byte), the sender's time of day in
 * milliseconds (8 bytes) and a body. No guarantee of the scheduler depends on these messages: a
 * lost, late or repeated frame costs only time.
 */
public final class PeerProtocol {
  /** Maximum size of a frame, including its length field. */
  public static final int MAX_FRAME_BYTES = 16 * 1024;

  private static final short MAGIC = 0x4654;
  private static final byte VERSION = 2;
  private static final byte SHARD_LOAD = 1;
  private static final byte LIVENESS = 2;
  private static final byte REDIRECT_COUNT = 3;
  private static final byte JOB_CANCELLED = 4;
  private static final int MAX_ITEMS = 64;
  private static final int MAX_TEXT_BYTES = 100;

  private PeerProtocol() {}

  /** Writes a frame with its length field into a new buffer, which is ready to be read. */
  public static ByteBuffer encode(long sentWallMs, PeerMessage message) {
    ByteBuffer out = ByteBuffer.allocate(MAX_FRAME_BYTES);
    out.putInt(0).putShort(MAGIC).put(VERSION).put(kindOf(message)).putLong(sentWallMs);
    if (message instanceof PeerMessage.ShardLoad load) {
      putShardLoad(out, load);
    } else if (message instanceof PeerMessage.Liveness liveness) {
      putText(out, liveness.sender());
      out.put((byte) (liveness.storeAvailable() ? 1 : 0));
    } else if (message instanceof PeerMessage.RedirectCount redirects) {
      putText(out, redirects.sender());
      putText(out, redirects.targetController());
      out.putInt(redirects.machineCount());
    } else if (message instanceof PeerMessage.JobCancelled cancelled) {
      putText(out, cancelled.sender());
      putText(out, cancelled.job());
    }
    out.putInt(0, out.position() - Integer.BYTES);
    return out.flip();
  }

  private static byte kindOf(PeerMessage message) {
    if (message instanceof PeerMessage.ShardLoad) {
      return SHARD_LOAD;
    }
    if (message instanceof PeerMessage.Liveness) {
      return LIVENESS;
    }
    return message instanceof PeerMessage.RedirectCount ? REDIRECT_COUNT : JOB_CANCELLED;
  }

  private static void putShardLoad(ByteBuffer out, PeerMessage.ShardLoad load) {
    putText(out, load.sender());
    putText(out, load.shard());
    out.putLong(load.epoch()).putDouble(load.waitingCpus()).putDouble(load.capacityCpus());
    int count = Math.min(load.freeCapacity().size(), MAX_ITEMS);
    out.put((byte) count);
    for (FreeCapacity free : load.freeCapacity().subList(0, count)) {
      putText(out, free.zone());
      out.putDouble(free.cpus()).putDouble(free.gpus()).putDouble(free.memoryGb());
    }
  }

  private static void putText(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(bytes.length, MAX_TEXT_BYTES);
    out.put((byte) length).put(bytes, 0, length);
  }

  /**
   * Reads a frame.
   *
   * @param in the frame without its length field
   * @throws MalformedFrameException if the frame is damaged or of another version
   */
  public static PeerFrame decode(ByteBuffer in) throws MalformedFrameException {
    try {
      if (in.getShort() != MAGIC) {
        throw new MalformedFrameException("wrong magic number");
      }
      byte version = in.get();
      if (version != VERSION) {
        throw new MalformedFrameException("unsupported version " + version);
      }
      byte kind = in.get();
      long sentWallMs = in.getLong();
      PeerMessage message = readMessage(kind, in);
      if (in.hasRemaining()) {
        throw new MalformedFrameException("trailing bytes");
      }
      return new PeerFrame(sentWallMs, message);
    } catch (BufferUnderflowException e) {
      throw new MalformedFrameException("truncated frame");
    }
  }

  private static PeerMessage readMessage(byte kind, ByteBuffer in) throws MalformedFrameException {
    return switch (kind) {
      case SHARD_LOAD -> readShardLoad(in);
      case LIVENESS -> new PeerMessage.Liveness(getText(in), in.get() != 0);
      case REDIRECT_COUNT -> new PeerMessage.RedirectCount(getText(in), getText(in), getCount(in));
      case JOB_CANCELLED -> new PeerMessage.JobCancelled(getText(in), getText(in));
      default -> throw new MalformedFrameException("unknown kind " + kind);
    };
  }

  private static PeerMessage.ShardLoad readShardLoad(ByteBuffer in) throws MalformedFrameException {
    String sender = getText(in);
    String shard = getText(in);
    long epoch = in.getLong();
    double waitingCpus = getAmount(in);
    double capacityCpus = getAmount(in);
    int count = in.get();
    if (count < 0 || count > MAX_ITEMS) {
      throw new MalformedFrameException("invalid count " + count);
    }
    List<FreeCapacity> free = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      free.add(new FreeCapacity(getText(in), getAmount(in), getAmount(in), getAmount(in)));
    }
    return new PeerMessage.ShardLoad(
        sender, shard, epoch, waitingCpus, capacityCpus, List.copyOf(free));
  }

  private static String getText(ByteBuffer in) {
    byte[] bytes = new byte[Byte.toUnsignedInt(in.get())];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static int getCount(ByteBuffer in) throws MalformedFrameException {
    int value = in.getInt();
    if (value < 0) {
      throw new MalformedFrameException("invalid count " + value);
    }
    return value;
  }

  private static double getAmount(ByteBuffer in) throws MalformedFrameException {
    double value = in.getDouble();
    if (!Double.isFinite(value) || value < 0) {
      throw new MalformedFrameException("invalid amount");
    }
    return value;
  }
}
