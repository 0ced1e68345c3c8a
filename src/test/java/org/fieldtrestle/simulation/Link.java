package org.fieldtrestle.simulation;

/** The parties that a controller exchanges messages with. */
enum Link {
  STORE,
  CLOUD,
  WORKERS,
  USERS,
  PEERS
}
