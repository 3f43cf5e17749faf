package org.oleanderspring.peer.command;

/** Result of {@link PeerTransport#start}. */
public sealed interface PeerStartResult {
    /**
     * The ports are bound and messages are being received.
     *
     * @param transport the running transport; the caller must close it
     */
    record Started(PeerTransport transport) implements PeerStartResult {}

    /**
     * The address is invalid or cannot be bound. No resources remain open.
     *
     * @param reason the cause, for the log
     */
    record Failed(String reason) implements PeerStartResult {}
}
