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
import java.util.concurrent.atomic.AtomicInteger;

/** Target that runs a script on raw sockets, so that it can violate HTTP at any point. */
final class ScriptedTargetServer implements AutoCloseable {
  private final ServerSocket serverSocket;
  private final Script script;
  private final List<String> receivedHeads = new CopyOnWriteArrayList<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final List<Socket> acceptedSockets = new CopyOnWriteArrayList<>();

  ScriptedTargetServer(Script script) throws IOException {
    this.script = script;
    this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  Address address() {
    return new Address("127.0.0.1", serverSocket.getLocalPort());
  }

  List<String> receivedHeads() {
    return receivedHeads;
  }

  int connectionCount() {
    return acceptedSockets.size();
  }

  /** Returns the number of connections that neither side has closed. */
  int openConnections() {
    return openConnections.get();
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
        Socket socket = serverSocket.accept();
        acceptedSockets.add(socket);
        openConnections.incrementAndGet();
        startThread(() -> serve(socket));
      }
    } catch (IOException e) {
      // The server was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      String head = readHead(in);
      while (!head.isEmpty()) {
        receivedHeads.add(head);
        in.readNBytes(bodyLength(head));
        if (!script.respond(head, socket.getOutputStream(), socket)) {
          return;
        }
        head = readHead(in);
      }
    } catch (IOException e) {
      // The client disconnected.
    } finally {
      openConnections.decrementAndGet();
    }
  }

  static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int nextByte = in.read();
    while (nextByte >= 0) {
      head.write(nextByte);
      if (nextByte == '\n' && head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        return head.toString(StandardCharsets.ISO_8859_1);
      }
      nextByte = in.read();
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

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    for (Socket socket : acceptedSockets) {
      socket.close();
    }
  }

  interface Script {
    /** Responds to one request; returns false to close the connection. */
    boolean respond(String head, OutputStream out, Socket socket) throws IOException;
  }
}
