package org.fieldtrestle.scaling;

import org.fieldtrestle.state.MachineRecord;

/** A change of a machine's entry in the machine inventory that is not written yet. */
sealed interface PendingUpdate {
  /**
   * Adds a machine.
   *
   * @param machine the entry; the part of the inventory that it goes into is chosen when it is
   *     written
   * @param adopted whether this shard adopts the machine without having rented it, so that another
   *     shard may try to add it at the same time
   * @param onDecided called once the machine was added or is known not to be added
   */
  record Add(MachineRecord machine, boolean adopted, Runnable onDecided) implements PendingUpdate {}

  /** Marks a machine as up, so that tasks may have been started on it. */
  record MarkUp() implements PendingUpdate {}

  /** Removes a machine. */
  record Remove() implements PendingUpdate {}
}
