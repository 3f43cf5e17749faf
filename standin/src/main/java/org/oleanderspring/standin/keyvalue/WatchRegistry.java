package org.oleanderspring.standin.keyvalue;

import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.standin.http.ChunkWriter;

/** The open watches; confined to the stand-in's duty. */
public final class WatchRegistry {
    private final List<Watch> mWatches = new ArrayList<>();

    /**
     * Adds a watch.
     *
     * @param range the watched keys
     * @param writer takes the messages
     */
    public void add(KeyRange range, ChunkWriter writer) {
        mWatches.add(new Watch(range, writer));
    }

    /**
     * Tells the watches of changes.
     *
     * @param changes the changes of one revision
     */
    public void publish(List<KeyChange> changes) {
        mWatches.removeIf(watch -> watch.writer().isClosed());
        long revision = changes.get(changes.size() - 1).revision();
        for (Watch watch : mWatches) {
            List<KeyChange> seen =
                    changes.stream()
                            .filter(change -> watch.range().contains(change.key()))
                            .toList();
            if (!seen.isEmpty()) {
                watch.writer().send(KeyValueServerCodec.watchMessage(seen, revision));
            }
        }
    }

    /** Breaks all watches. */
    public void abortAll() {
        mWatches.forEach(watch -> watch.writer().abort());
        mWatches.clear();
    }

    private record Watch(KeyRange range, ChunkWriter writer) {}
}
