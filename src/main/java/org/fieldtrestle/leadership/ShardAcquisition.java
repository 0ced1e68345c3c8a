package org.fieldtrestle.leadership;

import java.util.List;
import org.fieldtrestle.protocol.KeyValueProtocol;

/**
 * The part of a transaction with which this controller becomes the leader of a shard.
 *
 * @param shard the shard's name
 * @param conditions hold only while what the acquisition was planned from is still true
 * @param change the change of the shard's record
 * @param formerLeaderMayAct whether a former leader may not know yet, when the shard is acquired,
 *     that its term has ended
 */
record ShardAcquisition(
    String shard,
    List<KeyValueProtocol.Condition> conditions,
    KeyValueProtocol.Change change,
    boolean formerLeaderMayAct) {}
