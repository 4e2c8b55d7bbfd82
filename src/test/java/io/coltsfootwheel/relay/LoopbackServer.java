package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.Address;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Consumer;

/** Server on the loopback interface that serves each connection on a thread of its own. */
final class LoopbackServer implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final int BACKLOG = 50;

  private final ServerSocket server;
  private final String threadName;
  private final Consumer<Socket> connectionHandler;

  LoopbackServer(String threadName, Consumer<Socket> connectionHandler) {
    this.threadName = threadName;
    this.connectionHandler = connectionHandler;
    try {
      server = new ServerSocket(0, BACKLOG, InetAddress.getByName(HOST));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    startDaemonThread(this::accept);
  }

  Address address() {
    return new Address(HOST, server.getLocalPort());
  }

  boolean isClosed() {
    return server.isClosed();
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void startDaemonThread(Runnable task) {
    Thread thread = new Thread(task, threadName);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        startDaemonThread(() -> connectionHandler.accept(socket));
      }
    } catch (IOException e) {
      // The server socket is closed at the end of a test.
    }
  }
}
