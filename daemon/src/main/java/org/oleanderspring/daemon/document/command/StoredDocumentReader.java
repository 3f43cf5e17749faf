package org.oleanderspring.daemon.document.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.KeyValueQueries;
import org.oleanderspring.coordination.store.query.ReadResult;
import org.oleanderspring.coordination.store.query.WatchListener;
import org.oleanderspring.coordination.store.query.WatchSubscription;
import org.oleanderspring.daemon.codec.DecodedDocument;
import org.oleanderspring.daemon.process.StoreKeys;
import org.oleanderspring.duty.command.EventSink;

/**
 * Reads and watches documents in the key-value service, and offers the results to the ring of the
 * document duty from the threads of the key-value adapter. Only the document thread starts and
 * stops watches.
 */
final class StoredDocumentReader {
    private static final Logger LOGGER = System.getLogger(StoredDocumentReader.class.getName());

    private final KeyValueQueries mQueries;
    private final EventSink<DocumentInput> mDocumentRing;
    private final Map<DocumentName, WatchSubscription> mWatches = new HashMap<>();

    StoredDocumentReader(KeyValueQueries queries, EventSink<DocumentInput> ring) {
        mQueries = queries;
        mDocumentRing = ring;
    }

    /**
     * Reads a document.
     *
     * @param readId identifies the read in the event with its result
     * @param name the name of the document
     */
    void read(long readId, DocumentName name) {
        mQueries.read(StoreKeys.document(name))
                .thenAccept(result -> offer(eventOf(readId, name, result)));
    }

    void startWatch(DocumentName name) {
        stopWatch(name);
        mWatches.put(name, mQueries.watch(StoreKeys.document(name), new Listener(name)));
    }

    void stopWatch(DocumentName name) {
        WatchSubscription watch = mWatches.remove(name);
        if (watch != null) {
            watch.close();
        }
    }

    void stopAllWatches() {
        mWatches.values().forEach(WatchSubscription::close);
        mWatches.clear();
    }

    /**
     * Returns the event for the result of a read. A value that cannot be decoded is reported as an
     * unavailable service. Reported as an absent document, it would be overwritten with the current
     * version, if there is one.
     */
    private static DocumentEvent eventOf(long readId, DocumentName name, ReadResult result) {
        if (result instanceof ReadResult.Unavailable unavailable) {
            return new DocumentEvent.ServiceUnavailable(readId, name, unavailable.reason());
        }
        ReadResult.Found found = (ReadResult.Found) result;
        if (found.values().isEmpty()) {
            return new DocumentEvent.ServiceValueRead(readId, name, null, Revision.ABSENT);
        }
        StoredValue value = found.values().get(0);
        DecodedDocument<VersionedDocument> document =
                StoredDocumentDecoder.decode(name, value.bytes());
        if (document instanceof DecodedDocument.Malformed<VersionedDocument> malformed) {
            return new DocumentEvent.ServiceUnavailable(readId, name, malformed.reason());
        }
        return new DocumentEvent.ServiceValueRead(
                readId,
                name,
                ((DecodedDocument.Valid<VersionedDocument>) document).value(),
                value.revision());
    }

    private void offer(DocumentEvent event) {
        mDocumentRing.offer(new DocumentInput.Event(event));
    }

    /**
     * Turns the changes of one watched document into events. A value that cannot be decoded is only
     * logged: nothing waits for a watched value, and the next read of the document reports it.
     */
    private final class Listener implements WatchListener {
        private final DocumentName mName;

        Listener(DocumentName name) {
            mName = name;
        }

        @Override
        public void written(StoredValue value) {
            DecodedDocument<VersionedDocument> document =
                    StoredDocumentDecoder.decode(mName, value.bytes());
            if (document instanceof DecodedDocument.Valid<VersionedDocument> valid) {
                offer(
                        new DocumentEvent.ServiceValueWatched(
                                mName, valid.value(), value.revision()));
                return;
            }
            LOGGER.log(
                    Level.WARNING,
                    "[document] Ignoring a stored version of {0} that cannot be decoded.",
                    mName);
        }

        @Override
        public void removed(StoreKey key) {
            offer(new DocumentEvent.ServiceValueWatched(mName, null, Revision.ABSENT));
        }

        @Override
        public void failed(String reason) {
            offer(new DocumentEvent.WatchFailed(mName, reason));
        }
    }
}
