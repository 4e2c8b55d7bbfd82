package io.coltsfootwheel.journal;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Function;

/** Access to the files of the operating system in which operations fail. */
public final class FaultyFileAccess {
  private FaultyFileAccess() {}

  /**
   * Returns the access.
   *
   * @param failure returns the message of the failure of an operation, given its method name, or
   *     empty when it succeeds; a write that fails writes half of its bytes, as on a full disk
   * @return the access
   */
  public static FileAccess of(Function<String, Optional<String>> failure) {
    return withFailures(FileAccess.class, FileAccess.system(), failure);
  }

  private static <T> T withFailures(
      Class<T> type, T target, Function<String, Optional<String>> failure) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> {
              Optional<String> message = failure.apply(method.getName());
              if (message.isPresent()) {
                writeHalf(target, arguments);
                throw new IOException(message.get());
              }
              try {
                Object result = method.invoke(target, arguments);
                return result instanceof FileAccess.AppendFile file
                    ? withFailures(FileAccess.AppendFile.class, file, failure)
                    : result;
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            }));
  }

  private static void writeHalf(Object target, Object[] arguments) throws IOException {
    if (target instanceof FileAccess.AppendFile file
        && arguments != null
        && arguments[0] instanceof ByteBuffer bytes) {
      file.write(bytes.slice(0, bytes.remaining() / 2));
    }
  }
}
