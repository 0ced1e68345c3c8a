import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.BooleanSupplier;

/** Forwards the connections of one controller to another; drops what it carries during a cut. */
final class Relay {
  private final ServerSocket listener;
  private final int targetPort;
  private final BooleanSupplier open;

  Relay(int targetPort, BooleanSupplier open) throws IOException {
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.targetPort = targetPort;
    this.open = open;
    Web.THREADS.execute(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket from = listener.accept();
        Web.THREADS.execute(() -> connect(from));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket from) {
    try {
      if (!open.getAsBoolean()) {
        awaitOpen();
        from.close();
        return;
      }
      Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
      Web.THREADS.execute(() -> copy(from, to));
      copy(to, from);
    } catch (IOException e) {
      close(from);
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        if (!open.getAsBoolean()) {
          awaitOpen();
          break; // reset after the cut: part of the stream is lost
        }
        out.write(buffer, 0, count);
        out.flush();
        count = in.read(buffer);
      }
    } catch (IOException e) {
      // One side has closed.
    }
    close(from);
    close(to);
  }

  private void awaitOpen() {
    while (!open.getAsBoolean()) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
