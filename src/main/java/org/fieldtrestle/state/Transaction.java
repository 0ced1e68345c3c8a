package org.fieldtrestle.state;

import java.util.List;
import org.fieldtrestle.protocol.KeyValueProtocol;

/** A compare-and-swap: all changes are made together if all conditions hold, else none is made. */
public record Transaction(
    List<KeyValueProtocol.Condition> conditions, List<KeyValueProtocol.Change> changes) {}
