package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Binary format of snapshots of the control state: a 4-byte magic number, a 4-byte format version,
 * and MessagePack.
 *
 * <p>Each hash slot is written as two small numbers, its positions in a list of distinct owners and
 * in a list of distinct fences, because many hash slots share both.
 */
final class SnapshotFormat {
  static final int VERSION = 1;

  /** The characters CWCT in ASCII. */
  private static final int MAGIC = 0x43574354;

  private static final int HEADER_BYTES = 8;

  private SnapshotFormat() {}

  static byte[] encode(StateContent content) {
    SerializedState serialized =
        new SerializedState(
            content.index(),
            content.instances().values(),
            content.services().values().stream().map(SnapshotFormat::serialize).toList(),
            content.targets().values(),
            content.lists(),
            content.changes().results().entrySet().stream()
                .map(entry -> new SerializedChange(entry.getKey(), entry.getValue()))
                .toList(),
            content.explanations().entries());
    byte[] body = ControlCodec.encode(serialized);
    return ByteBuffer.allocate(HEADER_BYTES + body.length)
        .putInt(MAGIC)
        .putInt(VERSION)
        .put(body)
        .array();
  }

  static StateContent decode(byte[] bytes) {
    if (bytes.length < HEADER_BYTES || ByteBuffer.wrap(bytes).getInt() != MAGIC) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_VALUE, "the bytes are not a snapshot of the control state");
    }
    int version = ByteBuffer.wrap(bytes).getInt(Integer.BYTES);
    if (version != VERSION) {
      throw ColtsfootwheelException.of(
          ErrorKind.UNSUPPORTED_VERSION,
          "snapshot has format version " + version + ", this program reads version " + VERSION);
    }
    byte[] body = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
    return content(ControlCodec.decode(body, SerializedState.class));
  }

  private static StateContent content(SerializedState serialized) {
    SortedTable<InstanceId, InstanceState> instances = SortedTable.empty();
    for (InstanceState instance : serialized.instances()) {
      instances = instances.with(instance.spec().id(), instance);
    }
    SortedTable<TargetId, TargetState> targets = SortedTable.empty();
    for (TargetState target : serialized.targets()) {
      targets = targets.with(target.spec().id(), target);
    }
    SortedTable<ServiceName, ServiceState> services = SortedTable.empty();
    for (SerializedService service : serialized.services()) {
      services = services.with(service.spec().name(), service(service, serialized.targets()));
    }
    Map<String, CommandResult> changes = new LinkedHashMap<>();
    serialized.changes().forEach(change -> changes.put(change.id(), change.result()));
    return new StateContent(
        serialized.index(),
        instances,
        services,
        targets,
        serialized.lists(),
        new ChangeResults(Collections.unmodifiableMap(changes)),
        new Explanations(List.copyOf(serialized.explanations())));
  }

  private static ServiceState service(SerializedService serialized, List<TargetState> targets) {
    SortedTable<TargetId, TargetEntry> entries = SortedTable.empty();
    for (TargetState target : targets) {
      if (target.spec().service().equals(serialized.spec().name())) {
        entries = entries.with(target.spec().id(), target.entry());
      }
    }
    return new ServiceState(serialized.spec(), entries, table(serialized));
  }

  private static SerializedService serialize(ServiceState service) {
    SlotOwnershipTable table = service.slots();
    Map<TargetId, Integer> owners = new LinkedHashMap<>();
    Map<Long, Integer> fences = new LinkedHashMap<>();
    int[] slots = new int[table.size() * 2];
    for (int slot = 0; slot < table.size(); slot++) {
      TargetId owner = table.ownerOrNull(slot);
      slots[2 * slot] = owner == null ? 0 : positionOf(owners, owner) + 1;
      slots[2 * slot + 1] = positionOf(fences, table.fence(slot));
    }
    List<SerializedHandover> handovers = new ArrayList<>();
    for (int slot : table.handovers().keys()) {
      handovers.add(new SerializedHandover(slot, table.handovers().getOrNull(slot)));
    }
    return new SerializedService(
        service.spec(),
        List.copyOf(owners.keySet()),
        List.copyOf(fences.keySet()),
        slots,
        handovers,
        table.movedForLoad().keys());
  }

  private static <T> int positionOf(Map<T, Integer> positions, T value) {
    Integer position = positions.get(value);
    if (position != null) {
      return position;
    }
    positions.put(value, positions.size());
    return positions.size() - 1;
  }

  private static SlotOwnershipTable table(SerializedService serialized) {
    int size = serialized.slots().length / 2;
    TargetId[] owners = new TargetId[size];
    long[] fences = new long[size];
    for (int slot = 0; slot < size; slot++) {
      int owner = serialized.slots()[2 * slot];
      owners[slot] = owner == 0 ? null : serialized.owners().get(owner - 1);
      fences[slot] = serialized.fences().get(serialized.slots()[2 * slot + 1]);
    }
    SlotOwnershipTable table =
        SlotOwnershipTable.of(owners, fences).withMovedForLoad(serialized.movedForLoad());
    for (SerializedHandover handover : serialized.handovers()) {
      table = table.withHandover(List.of(handover.slot()), handover.handover());
    }
    return table;
  }

  /** The whole state. */
  record SerializedState(
      long index,
      List<InstanceState> instances,
      List<SerializedService> services,
      List<TargetState> targets,
      PolicyLists lists,
      List<SerializedChange> changes,
      List<Explanation> explanations) {}

  /**
   * Service; {@code slots} has two numbers for each hash slot, the position of its owner + 1 (0 for
   * no owner) and the position of its fence.
   */
  record SerializedService(
      ServiceSpec spec,
      List<TargetId> owners,
      List<Long> fences,
      int[] slots,
      List<SerializedHandover> handovers,
      List<Integer> movedForLoad) {}

  /** Hash slot in handover. */
  record SerializedHandover(int slot, Handover handover) {}

  /** Change identity and the result of the change. */
  record SerializedChange(String id, CommandResult result) {}
}
