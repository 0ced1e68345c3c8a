import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The network between zones. A zone that is cut off reaches only itself. The regional services (key
 * "" here) belong to no zone, and a zone that is cut off does not reach them either.
 */
final class Zones {
  static final String REGIONAL = "";
  private final Map<String, Boolean> cut = new ConcurrentHashMap<>();
  private final Map<String, String> zoneOfController = new ConcurrentHashMap<>();

  void placeController(String label, String zone) {
    zoneOfController.put(label, zone);
  }

  String zoneOf(String controller) {
    return zoneOfController.get(controller);
  }

  void cutOff(String zone) {
    cut.put(zone, true);
  }

  void reconnect(String zone) {
    cut.remove(zone);
  }

  boolean reaches(String from, String to) {
    return from.equals(to) || !(cut.containsKey(from) || cut.containsKey(to));
  }

  boolean controllerReachesRegion(String label) {
    return reaches(zoneOf(label), REGIONAL);
  }
}
