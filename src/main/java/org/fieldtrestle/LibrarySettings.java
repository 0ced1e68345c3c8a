package org.fieldtrestle;

/** System properties that the libraries read when they are first used. */
final class LibrarySettings {
  private static final String DEFAULT_LOG_LEVEL = "info";

  private LibrarySettings() {}

  /** Sets the properties; called before any library is used. */
  static void apply() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", DEFAULT_LOG_LEVEL);
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    // An invalid setting is reported in one line, without the parser's stack trace.
    System.setProperty("org.slf4j.simpleLogger.log.com.bertramlabs", "off");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    // One small pool of buffers for one event loop, with chunks of 8 KiB << maxOrder.
    System.setProperty("io.netty.allocator.type", "pooled");
    System.setProperty("io.netty.allocator.numDirectArenas", "1");
    System.setProperty("io.netty.allocator.numHeapArenas", "1");
    System.setProperty("io.netty.allocator.maxOrder", "4");
    // Otherwise Netty searches the network interfaces for an id at every start.
    System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
    // Otherwise Netty loads the management classes to learn the process id.
    System.setProperty("io.netty.processId", "1");
  }
}
