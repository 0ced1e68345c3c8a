package org.fieldtrestle.simulation;

/** What a controller exchanges messages with. */
enum Link {
  STORE,
  CLOUD,
  WORKERS,
  USERS,
  PEERS
}
