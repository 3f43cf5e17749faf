package org.oleanderspring.peer.command;

/** Whether a node could be started. */
public sealed interface PeerStart {
    /**
     * It runs.
     *
     * @param node the node; to be closed
     */
    record Started(PeerNode node) implements PeerStart {}

    /**
     * The address cannot be used.
     *
     * @param reason why, for the log
     */
    record Failed(String reason) implements PeerStart {}
}
