package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Proxy of the connections that one process opens to another. Open connections can be made silent
 * for good; connections that are opened later work.
 */
final class LinkProxy {
  private final String fromIp;
  private final String toIp;
  private final int targetPort;
  private final ServerSocket server = new ServerSocket();
  private final List<Pair> open = new ArrayList<>();
  private int accepted;

  /** Both sides of a connection. */
  private static final class Pair {
    private volatile boolean silent;
  }

  LinkProxy(Cluster cluster, String fromIp, String toIp) throws IOException {
    this.fromIp = fromIp;
    this.toIp = toIp;
    this.targetPort = cluster.internalPort(toIp);
    server.bind(new InetSocketAddress(InetAddress.getByName(toIp), cluster.internalPort(fromIp)));
    daemon(this::accept);
  }

  /** Makes the connections that are open now silent; returns their number. */
  synchronized int silence() {
    open.forEach(p -> p.silent = true);
    int count = open.size();
    open.clear();
    return count;
  }

  synchronized int accepted() {
    return accepted;
  }

  @Override
  public String toString() {
    return fromIp + " to " + toIp;
  }

  private void accept() {
    while (true) {
      try {
        Socket client = server.accept();
        Socket target = new Socket();
        target.setTcpNoDelay(true);
        client.setTcpNoDelay(true);
        Pair pair = new Pair();
        try {
          target.connect(new InetSocketAddress(toIp, targetPort), 1_000);
        } catch (IOException e) {
          client.close();
          continue;
        }
        synchronized (this) {
          open.add(pair);
          accepted++;
        }
        daemon(() -> copy(pair, client, target));
        daemon(() -> copy(pair, target, client));
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Passes bytes on; on a silent connection neither bytes nor its end are passed on. */
  private void copy(Pair pair, Socket from, Socket to) {
    byte[] buffer = new byte[65_536];
    try {
      InputStream in = from.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!pair.silent) {
          to.getOutputStream().write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // The connection has ended.
    }
    synchronized (this) {
      open.remove(pair);
    }
    if (!pair.silent) {
      close(from);
      close(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }
}
