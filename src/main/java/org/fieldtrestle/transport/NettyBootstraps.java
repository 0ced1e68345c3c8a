package org.fieldtrestle.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Creates Netty bootstraps with the options that all clients or all servers of this process share.
 */
final class NettyBootstraps {
  private NettyBootstraps() {}

  static Bootstrap client(EventLoopGroup group, long connectTimeoutMs, ChannelHandler initializer) {
    return new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeoutMs)
        .handler(initializer);
  }

  static ServerBootstrap server(EventLoopGroup group, ChannelHandler childInitializer) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(childInitializer);
  }
}
