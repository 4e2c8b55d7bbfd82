package io.coltsfootwheel.link;

import io.coltsfootwheel.model.Address;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Proxy between two processes, whose open connections can go silent for good without a reset while
 * later ones work, and which can be paused, delayed or slowed down as a whole.
 */
public final class SilentProxy implements AutoCloseable {
  private static final int BACKLOG = 50;
  private static final int ANY_PORT = 0;
  private static final int BUFFER_BYTES = 16_384;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ServerSocket server;
  private final Supplier<Address> target;
  private final ExecutorService threads = Executors.newCachedThreadPool();

  /** Writes delayed bytes, in the order in which they were read. */
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  private final List<Connection> open = new ArrayList<>();
  private boolean isPaused;
  private volatile int bytesPerSecond = Integer.MAX_VALUE;
  private volatile long delayMillis;

  /** Connection of the proxy; bytes are dropped once it is silent. */
  private static final class Connection {
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean isSilent;
  }

  /**
   * Starts the proxy.
   *
   * @param target address to which connections are passed on, read for each connection
   * @throws IOException when no port can be bound
   */
  public SilentProxy(Supplier<Address> target) throws IOException {
    this(InetAddress.getLoopbackAddress(), ANY_PORT, target);
  }

  /**
   * Starts the proxy at an address.
   *
   * @param listen loopback address on which the proxy listens
   * @param target address to which connections are passed on, read for each connection
   * @throws IOException when the address cannot be bound
   */
  public SilentProxy(Address listen, Supplier<Address> target) throws IOException {
    this(InetAddress.getByName(listen.host()), listen.port(), target);
  }

  private SilentProxy(InetAddress host, int port, Supplier<Address> target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(port, BACKLOG, host);
    threads.execute(this::accept);
  }

  /**
   * Returns the address of the proxy.
   *
   * @return a loopback address
   */
  public Address address() {
    return new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
  }

  /** Makes the connections silent that are open now. */
  public synchronized void silence() {
    open.forEach(c -> c.isSilent = true);
  }

  /** Limits the bytes of each connection in each direction. */
  public void slowDown(int newBytesPerSecond) {
    bytesPerSecond = newBytesPerSecond;
  }

  /**
   * Delays the bytes of all connections, of new ones too, in each direction.
   *
   * @param millis the delay, in milliseconds
   */
  public void delay(long millis) {
    delayMillis = millis;
  }

  /** Holds all bytes back, in new connections too, until {@link #resume()}. */
  public synchronized void pause() {
    isPaused = true;
  }

  /** Passes bytes on again. */
  public synchronized void resume() {
    isPaused = false;
    notifyAll();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        passOn(server.accept());
      } catch (IOException e) {
        // The proxy was closed.
      }
    }
  }

  private void passOn(Socket client) throws IOException {
    Connection connection = new Connection();
    connection.sockets.add(client);
    try {
      Socket peer = new Socket(target.get().host(), target.get().port());
      connection.sockets.add(peer);
      synchronized (this) {
        open.add(connection);
      }
      threads.execute(() -> copy(connection, client, peer));
      threads.execute(() -> copy(connection, peer, client));
    } catch (ConnectException e) {
      // The target does not listen yet.
      close(connection);
    }
  }

  private void copy(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitResumed();
        Thread.sleep(MILLIS_PER_SECOND * count / bytesPerSecond);
        byte[] bytes = Arrays.copyOf(buffer, count);
        if (delayMillis == 0) {
          write(connection, to, bytes);
        } else {
          timer.schedule(() -> write(connection, to, bytes), delayMillis, TimeUnit.MILLISECONDS);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended, or the proxy was closed.
    }
    if (!connection.isSilent) {
      close(connection);
    }
  }

  private static Void write(Connection connection, Socket to, byte[] bytes) throws IOException {
    if (!connection.isSilent) {
      to.getOutputStream().write(bytes);
    }
    return null;
  }

  private synchronized void awaitResumed() throws IOException {
    while (isPaused) {
      try {
        wait();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  private static void close(Connection connection) {
    for (Socket socket : connection.sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        // Closed already.
      }
    }
  }

  @Override
  public synchronized void close() throws IOException {
    server.close();
    open.forEach(SilentProxy::close);
    threads.shutdownNow();
    timer.shutdownNow();
  }
}
