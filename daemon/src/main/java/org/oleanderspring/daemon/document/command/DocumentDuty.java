package org.oleanderspring.daemon.document.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.DocumentWriteOutcome;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.document.command.DefaultDocumentDecider;
import org.oleanderspring.coordination.document.command.DocumentDecision;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.KeyValueQueries;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.daemon.codec.DecodedDocument;
import org.oleanderspring.daemon.codec.PlanCodec;
import org.oleanderspring.daemon.codec.SettingsCodec;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.document.query.DocumentStatus;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.StoreKeys;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.command.PeerSender;

/**
 * Executes the decisions about documents, and replies to operators' settings requests. All state is
 * confined to the document thread.
 */
public final class DocumentDuty implements EventHandler<DocumentInput> {
    private static final Logger LOGGER = System.getLogger(DocumentDuty.class.getName());

    private final DefaultDocumentDecider mDecider;
    private final KeyValueCommands mCommands;
    private final StoredDocumentReader mReader;
    private final PeerSender mPeers;
    private final DocumentListener mListener;
    private final MonotonicClock mClock;
    private final EventSink<DocumentInput> mOwnRing;
    private final SettingsDraftProcessor mDraftProcessor = new SettingsDraftProcessor();
    private final PeerSettingsNumbers mPeerSettingsNumbers = new PeerSettingsNumbers();
    private final Set<DocumentName> mTrackedPlans = new HashSet<>();

    /**
     * Creates the duty; it handles events once its thread is started.
     *
     * @param decider decides about reads, writes and the authority
     * @param commands writes documents to the key-value service
     * @param queries reads the key-value service
     * @param peers sends messages to other daemons
     * @param listener receives changes, on the document thread
     * @param clock the clock of the authority to decide
     * @param ownRing the ring of this duty, which receives the results of I/O
     */
    public DocumentDuty(
            DefaultDocumentDecider decider,
            KeyValueCommands commands,
            KeyValueQueries queries,
            PeerSender peers,
            DocumentListener listener,
            MonotonicClock clock,
            EventSink<DocumentInput> ownRing) {
        mDecider = decider;
        mCommands = commands;
        mReader = new StoredDocumentReader(queries, ownRing);
        mPeers = peers;
        mListener = listener;
        mClock = clock;
        mOwnRing = ownRing;
    }

    @Override
    public void handle(DocumentInput input) {
        if (input instanceof DocumentInput.Event event) {
            mPeerSettingsNumbers.update(event.event());
            decide(event.event());
        } else if (input instanceof DocumentInput.CellsListed listed) {
            listed.cells().forEach(this::track);
        } else if (input instanceof DocumentInput.MembersListed listed) {
            decide(
                    new DocumentEvent.MembersChanged(
                            listed.members().live(), listed.members().quorumAddresses()));
        } else if (input instanceof DocumentInput.PlanWritten written) {
            planWritten(written.plan(), written.revision());
        } else if (input instanceof DocumentInput.DraftReceived received) {
            mDraftProcessor.process(received).ifPresent(this::decide);
        } else if (input instanceof DocumentInput.SettingsRequested query) {
            query.reply().complete(mDraftProcessor.current());
        } else if (input instanceof DocumentInput.StatusRequested query) {
            query.reply().complete(status());
        }
    }

    private DocumentStatus status() {
        return new DocumentStatus(
                mDraftProcessor.current().settings().number(),
                mDecider.authorityEnd(mClock.now()),
                mPeerSettingsNumbers.numbers());
    }

    private void track(CellName cell) {
        DocumentName name = StoreKeys.plan(cell);
        if (mTrackedPlans.add(name)) {
            decide(new DocumentEvent.DocumentTracked(name));
        }
    }

    /**
     * Reports an accepted plan of this daemon like a watched value, without waiting for the watch.
     */
    private void planWritten(Plan plan, Revision revision) {
        DocumentName name = StoreKeys.plan(plan.cell());
        VersionedDocument document =
                new VersionedDocument(name, plan.number(), PlanCodec.encode(plan));
        decide(new DocumentEvent.ServiceValueWatched(name, document, revision));
    }

    private void decide(DocumentEvent event) {
        for (DocumentDecision decision : mDecider.decide(event, mClock.now())) {
            execute(decision);
        }
    }

    private void execute(DocumentDecision decision) {
        if (decision instanceof DocumentDecision.StartWatch start) {
            mReader.startWatch(start.name());
        } else if (decision instanceof DocumentDecision.StopWatch stop) {
            mReader.stopWatch(stop.name());
        } else if (decision instanceof DocumentDecision.ReadService read) {
            mReader.read(read.readId(), read.name());
        } else if (decision instanceof DocumentDecision.WriteBack write) {
            writeBack(write);
        } else if (decision instanceof DocumentDecision.WriteChange write) {
            writeChange(write);
        } else if (decision instanceof DocumentDecision.ReportChangeResult report) {
            mDraftProcessor.completeReply(report);
        } else if (decision instanceof DocumentDecision.PushDocument push) {
            push.peers()
                    .forEach(
                            peer ->
                                    mPeers.send(
                                            peer, new PeerMessage.DocumentPush(push.document())));
        } else if (decision instanceof DocumentDecision.FetchDocument fetch) {
            mPeers.send(
                    fetch.peer(), new PeerMessage.DocumentFetch(fetch.requestId(), fetch.name()));
        } else if (decision instanceof DocumentDecision.ReplyToFetch reply) {
            mPeers.send(
                    reply.peer(),
                    new PeerMessage.DocumentReply(
                            reply.requestId(), reply.document(), reply.digest()));
        } else {
            notifyListener(decision);
        }
    }

    private void notifyListener(DocumentDecision decision) {
        if (decision instanceof DocumentDecision.ApplyDocument apply) {
            applyDocument(apply.document());
        } else if (decision instanceof DocumentDecision.GrantAuthority grant) {
            mListener.authorityChanged(grant.until());
        } else if (decision instanceof DocumentDecision.WithdrawAuthority) {
            LOGGER.log(
                    Level.WARNING,
                    "[document] Neither the key-value service nor a majority of members confirms"
                            + " the documents; refusing new work.");
            mListener.authorityChanged(Instant.MIN);
        } else if (decision instanceof DocumentDecision.PublishDigest publish) {
            mListener.digestPublished(publish.snapshot());
        }
    }

    /** Passes the content to the listener; a document that cannot be decoded is ignored. */
    private void applyDocument(VersionedDocument document) {
        LOGGER.log(
                Level.INFO,
                "[document] Document {0} number {1} is in force.",
                document.name(),
                document.number());
        if (StoreKeys.isPlan(document.name())) {
            if (PlanCodec.decode(document.bytes()) instanceof DecodedDocument.Valid<Plan> plan) {
                mListener.planChanged(plan.value());
            }
            return;
        }
        if (SettingsCodec.decode(document.bytes())
                instanceof DecodedDocument.Valid<SettingsDocument> settings) {
            mDraftProcessor.setCurrent(settings.value());
            mListener.settingsChanged(settings.value().settings());
        }
    }

    private void writeBack(DocumentDecision.WriteBack write) {
        LOGGER.log(
                Level.WARNING,
                "[document] The service holds an older {0}; number {1} is written back.",
                write.document().name(),
                write.document().number());
        mCommands
                .compareAndSwap(swapOf(write.document(), write.expected()))
                .thenAccept(
                        result ->
                                offer(
                                        new DocumentEvent.WriteBackFinished(
                                                write.document().name(), outcomeOf(result))));
    }

    private void writeChange(DocumentDecision.WriteChange write) {
        mCommands
                .compareAndSwap(swapOf(write.document(), write.expected()))
                .thenAccept(
                        result ->
                                offer(
                                        new DocumentEvent.ChangeWriteFinished(
                                                write.change(), outcomeOf(result))));
    }

    private static CompareAndSwap swapOf(VersionedDocument document, Revision expected) {
        return new CompareAndSwap(
                StoreKeys.document(document.name()), expected, document.bytes(), StoreLeaseId.NONE);
    }

    private static DocumentWriteOutcome outcomeOf(WriteResult result) {
        if (result instanceof WriteResult.Written) {
            return DocumentWriteOutcome.WRITTEN;
        }
        if (result instanceof WriteResult.Conflict) {
            return DocumentWriteOutcome.CONFLICT;
        }
        return result instanceof WriteResult.Unavailable
                ? DocumentWriteOutcome.UNAVAILABLE
                : DocumentWriteOutcome.UNKNOWN;
    }

    private void offer(DocumentEvent event) {
        mOwnRing.offer(new DocumentInput.Event(event));
    }
}
