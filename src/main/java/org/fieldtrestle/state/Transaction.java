package org.fieldtrestle.state;

import java.util.List;
import org.fieldtrestle.protocol.KeyValueProtocol;

/** A compare-and-swap: changes that are made together, if all conditions hold. */
public record Transaction(
    List<KeyValueProtocol.Condition> conditions, List<KeyValueProtocol.Change> changes) {}
