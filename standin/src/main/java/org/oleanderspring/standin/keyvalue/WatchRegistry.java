package org.oleanderspring.standin.keyvalue;

import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.standin.http.ChunkWriter;

/** The open watch streams; used on the stand-in's state thread only. */
public final class WatchRegistry {
    private final List<Watch> mWatches = new ArrayList<>();

    /**
     * Adds a watch.
     *
     * @param range the watched keys
     * @param writer the writer of the response stream
     */
    public void add(KeyRange range, ChunkWriter writer) {
        mWatches.add(new Watch(range, writer));
    }

    /**
     * Removes the watches whose stream is closed, then sends each watch the changes in its range.
     *
     * @param changes the changes of one revision, at least one
     */
    public void publish(List<KeyChange> changes) {
        mWatches.removeIf(watch -> watch.writer().isClosed());
        long revision = changes.get(changes.size() - 1).revision();
        for (Watch watch : mWatches) {
            List<KeyChange> matching =
                    changes.stream()
                            .filter(change -> watch.range().contains(change.key()))
                            .toList();
            if (!matching.isEmpty()) {
                watch.writer().send(KeyValueServerCodec.watchMessage(matching, revision));
            }
        }
    }

    /** Closes the connections of all watches. */
    public void abortAll() {
        mWatches.forEach(watch -> watch.writer().abort());
        mWatches.clear();
    }

    private record Watch(KeyRange range, ChunkWriter writer) {}
}
