package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Scripted target that works on bytes, so that it can break the protocol at any point. */
final class RawServer implements AutoCloseable {
  private final ServerSocket listener;
  private final Script script;
  private final List<String> heads = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  RawServer(Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  Address address() {
    return new Address("127.0.0.1", listener.getLocalPort());
  }

  List<String> heads() {
    return heads;
  }

  int connections() {
    return sockets.size();
  }

  /** Response with a complete body. */
  static byte[] response(int status, String headers, String body) {
    return ("HTTP/1.1 "
            + status
            + " X\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        sockets.add(socket);
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      String head = readHead(in);
      while (!head.isEmpty()) {
        heads.add(head);
        in.readNBytes(bodyLength(head));
        if (!script.respond(head, socket.getOutputStream(), socket)) {
          return;
        }
        head = readHead(in);
      }
    } catch (IOException e) {
      // The client has gone.
    }
  }

  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int c = in.read();
    while (c >= 0) {
      head.write(c);
      if (c == '\n' && head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        return head.toString(StandardCharsets.ISO_8859_1);
      }
      c = in.read();
    }
    return "";
  }

  private static int bodyLength(String head) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase().startsWith("content-length:")) {
        return Integer.parseInt(line.substring(15).trim());
      }
    }
    return 0;
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  interface Script {
    /** Responds to one request; false closes the connection. */
    boolean respond(String head, OutputStream out, Socket socket) throws IOException;
  }
}
