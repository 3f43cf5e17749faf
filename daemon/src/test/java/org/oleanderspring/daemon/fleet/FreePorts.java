package org.oleanderspring.daemon.fleet;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Finds ports that are free for TCP and UDP. They lie below the ephemeral port range of the system,
 * so no outgoing connection takes them between the check and the use.
 */
final class FreePorts {
    private static final int FIRST = 21_000;
    private static final int LAST = 31_000;

    /** Depends on the process, so that concurrent test processes try different ports first. */
    private static int sNext = FIRST + (int) (ProcessHandle.current().pid() % 900) * 10;

    private FreePorts() {}

    static synchronized int next() {
        while (sNext < LAST) {
            int port = sNext++;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no port below " + LAST + " is free for TCP and UDP");
    }

    private static boolean isFree(int port) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (ServerSocket tcp = new ServerSocket();
                DatagramSocket udp = new DatagramSocket(address)) {
            tcp.bind(address);
            return udp.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
