package org.fieldtrestle;

/** Sets system properties that libraries read when they are first used. */
final class LibrarySettings {
  private static final String DEFAULT_LOG_LEVEL = "info";

  private LibrarySettings() {}

  /** Sets the properties. Must be called before any library is used. */
  static void apply() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", DEFAULT_LOG_LEVEL);
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    // An invalid setting is reported in one line, without the parser's stack trace.
    System.setProperty("org.slf4j.simpleLogger.log.com.bertramlabs", "off");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    // One event loop needs only one small pool of buffers; its chunks have 8 KiB << maxOrder.
    System.setProperty("io.netty.allocator.type", "pooled");
    System.setProperty("io.netty.allocator.numDirectArenas", "1");
    System.setProperty("io.netty.allocator.numHeapArenas", "1");
    System.setProperty("io.netty.allocator.maxOrder", "4");
    // Without this, Netty searches the network interfaces for an id at every start.
    System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
    // Without this, Netty loads the management classes to determine the process id.
    System.setProperty("io.netty.processId", "1");
  }
}
