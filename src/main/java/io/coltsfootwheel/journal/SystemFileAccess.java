package io.coltsfootwheel.journal;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** {@link FileAccess} to the files of the operating system. */
final class SystemFileAccess implements FileAccess {
  /**
   * Size of the parts in which files are read and written: each part takes as much direct memory,
   * which its thread keeps.
   */
  private static final int PART_BYTES = 64 * 1024;

  @Override
  public void createFolder(Path folder) throws IOException {
    Files.createDirectories(folder);
  }

  @Override
  public AutoCloseable lock(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      FileLock lock = channel.tryLock();
      if (lock != null) {
        return channel;
      }
    } catch (OverlappingFileLockException e) {
      channel.close();
      throw new IOException(file + " is locked by this process", e);
    }
    channel.close();
    throw new IOException(file + " is locked by another process");
  }

  @Override
  public List<String> list(Path folder) throws IOException {
    try (Stream<Path> paths = Files.list(folder)) {
      return paths.map(p -> p.getFileName().toString()).sorted().toList();
    }
  }

  @Override
  public InputStream read(Path file) throws IOException {
    return new BufferedInputStream(Files.newInputStream(file), PART_BYTES);
  }

  @Override
  public AppendFile append(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    channel.position(channel.size());
    return new ChannelFile(channel);
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(Path file) throws IOException {
    Files.delete(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private record ChannelFile(FileChannel channel) implements AppendFile {
    @Override
    public void write(ByteBuffer bytes) throws IOException {
      int endPosition = bytes.limit();
      while (bytes.position() < endPosition) {
        bytes.limit(Math.min(endPosition, bytes.position() + PART_BYTES));
        channel.write(bytes);
      }
    }

    @Override
    public void truncate(long sizeBytes) throws IOException {
      channel.truncate(sizeBytes);
      channel.position(sizeBytes);
    }

    @Override
    public void sync() throws IOException {
      channel.force(true);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
