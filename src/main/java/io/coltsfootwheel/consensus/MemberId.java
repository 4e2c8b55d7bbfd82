package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;

/**
 * Member of the replication group: an instance together with the identity of its disk.
 *
 * <p>An instance whose disk was replaced is a different member, because the promises that were
 * recorded on the lost disk are unknown to it.
 *
 * @param instance name of the instance
 * @param diskId random identity that was written when the data folder was created
 */
public record MemberId(InstanceId instance, String diskId) {
  @Override
  public String toString() {
    return instance + "/" + diskId;
  }
}
