package review;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Backend that answers a long request before it has read its body. The answer has no length and
 * ends with the connection. Arguments: address, port, "crash" or "finish". With "crash" it stops in
 * the middle of its answer, until its process is killed; with "finish" it sends the whole answer.
 */
public final class EarlyBackend {
  static final String FIRST = "a".repeat(1_000);
  static final String SECOND = "b".repeat(1_000);

  public static void main(String[] arguments) throws Exception {
    boolean crashes = arguments[2].equals("crash");
    ServerSocket server = new ServerSocket();
    server.setReceiveBufferSize(64 * 1024);
    server.bind(new InetSocketAddress(InetAddress.getByName(arguments[0]), Integer.parseInt(arguments[1])));
    System.out.println("LISTENING");
    while (true) {
      Socket socket = server.accept();
      Thread thread = new Thread(() -> serve(socket, crashes));
      thread.setDaemon(true);
      thread.start();
    }
  }

  private static void serve(Socket socket, boolean crashes) {
    try (socket) {
      InputStream in = socket.getInputStream();
      String head = readHead(in);
      System.out.println("RUN " + header(head, "X-Coltsfootwheel-Request-Id"));
      OutputStream out = socket.getOutputStream();
      String answer =
          "HTTP/1.1 200 OK\r\nX-Coltsfootwheel-Request-Id: "
              + header(head, "X-Coltsfootwheel-Request-Id")
              + "\r\nX-Coltsfootwheel-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
              + "Connection: close\r\n\r\n"
              + FIRST;
      out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      System.out.println("HALF");
      if (crashes) {
        Thread.sleep(60_000);
        return;
      }
      long left = Long.parseLong(header(head, "Content-Length"));
      byte[] buffer = new byte[65_536];
      while (left > 0) {
        int count = in.read(buffer);
        if (count < 0) {
          return;
        }
        left -= count;
      }
      out.write(SECOND.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      System.out.println("WHOLE");
    } catch (Exception e) {
      System.out.println("FAILED " + e);
    }
  }

  static String readHead(InputStream in) throws Exception {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new java.io.EOFException("connection ended");
      }
      head.append((char) next);
    }
    return head.toString();
  }

  static String header(String head, String name) {
    for (String line : head.split("\r\n")) {
      if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return "";
  }
}
