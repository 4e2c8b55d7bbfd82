package io.coltsfootwheel.node;

import io.coltsfootwheel.journal.FileAccess;
import io.coltsfootwheel.journal.Journal;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** Disk of one process that has no room for further bytes while it is full. */
final class FillableDisk {
  private volatile boolean full;

  void fill() {
    full = true;
  }

  void free() {
    full = false;
  }

  Journal open(Path folder) {
    return Journal.open(folder, withLimit(FileAccess.class, FileAccess.system()));
  }

  private <T> T withLimit(Class<T> type, T target) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> {
              if (full && method.getName().equals("write")) {
                writeHalf((FileAccess.AppendFile) target, (ByteBuffer) arguments[0]);
              }
              try {
                Object result = method.invoke(target, arguments);
                return result instanceof FileAccess.AppendFile file
                    ? withLimit(FileAccess.AppendFile.class, file)
                    : result;
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            }));
  }

  private static void writeHalf(FileAccess.AppendFile file, ByteBuffer bytes) throws IOException {
    file.write(bytes.slice(0, bytes.remaining() / 2));
    throw new IOException("No space left on device");
  }
}
