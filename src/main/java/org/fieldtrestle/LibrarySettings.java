package org.fieldtrestle;

/** What the libraries have to know before any of them is touched. */
final class LibrarySettings {
  private static final String DEFAULT_LOG_LEVEL = "info";

  private LibrarySettings() {}

  static void apply() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", DEFAULT_LOG_LEVEL);
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
    // A bad setting is one line of ours, not the parser's stack trace.
    System.setProperty("org.slf4j.simpleLogger.log.com.bertramlabs", "off");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    // Buffers come from one small pool, as there is one event loop: a chunk is a page (8 KiB),
    // doubled as often as this says.
    System.setProperty("io.netty.allocator.type", "pooled");
    System.setProperty("io.netty.allocator.numDirectArenas", "1");
    System.setProperty("io.netty.allocator.numHeapArenas", "1");
    System.setProperty("io.netty.allocator.maxOrder", "4");
    // Or Netty looks through the network interfaces for a name of its own at every start.
    System.setProperty("io.netty.machineId", "00:00:00:00:00:01");
    // Or Netty loads the management classes to learn its own process id.
    System.setProperty("io.netty.processId", "1");
  }
}
