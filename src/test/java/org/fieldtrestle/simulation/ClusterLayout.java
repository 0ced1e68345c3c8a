package org.fieldtrestle.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.fieldtrestle.config.Settings;

/** Names, addresses and settings of the processes of a simulated cluster. */
final class ClusterLayout {
  static final String STORE_ADDRESS = "10.2.0.1:2379";
  static final String CLOUD_ADDRESS = "10.2.0.2:8443";

  /** The labels of the controllers of a deployment with the usual number of them. */
  static final List<String> LABELS = labels(3);

  /** The zone of the key-value store, the cloud and the users. */
  static final String REGIONAL_ZONE = "regional";

  /** The address of the worker on the n-th machine that is rented. */
  static final IntFunction<String> WORKER_ADDRESS =
      number -> "10.1." + number / 250 + "." + (number % 250 + 1) + ":9000";

  /** The team that has a quota. */
  static final String LIMITED_TEAM = "limited";

  private ClusterLayout() {}

  /** Returns the labels of a number of controllers, which may be ten at the most. */
  static List<String> labels(int controllers) {
    return IntStream.range(0, controllers).mapToObj(number -> "trestle-" + number).toList();
  }

  /** Returns the address at which a controller serves users and workers. */
  static String address(String label) {
    return "10.0.0." + digit(label) + ":8080";
  }

  private static String peerAddress(String label) {
    return "10.0.0." + digit(label) + ":8081";
  }

  private static char digit(String label) {
    return label.charAt(label.length() - 1);
  }

  /** Returns the label of the controller that serves the other controllers at an address. */
  static String labelOfPeer(String peerAddress) {
    return "trestle-" + peerAddress.charAt(peerAddress.indexOf(':') - 1);
  }

  static String zone(String label) {
    return label.endsWith("1") ? "b" : "a";
  }

  /** Returns the settings of a controller. */
  static Settings settings(String label, Deployment deployment) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (String other : labels(deployment.controllers())) {
      if (!other.equals(label)) {
        peers.add(new Settings.Peer(other, zone(other), peerAddress(other)));
      }
    }
    return new Settings(
        label,
        zone(label),
        "0.0.0.0:1",
        peerAddress(label),
        peers,
        CLOUD_ADDRESS,
        STORE_ADDRESS,
        List.of("a", "b"),
        100,
        List.of(
            new Settings.Team(LIMITED_TEAM, 16, deployment.limitedTeamCpus(), 0, 0),
            new Settings.Team("open", 16, 0, 0, 0)),
        List.of(new Settings.Objective("wait", "rush", 0.9, 1, 5)),
        new Settings.WorkerTiming(
            deployment.heartbeatIntervalMs() / 1000.0,
            deployment.leaseMs() / 1000.0,
            deployment.cancellationTimeMs() / 1000.0),
        deployment.keyValueStoreLimits(),
        deployment.cloudLimits(),
        deployment.processLimits());
  }
}
