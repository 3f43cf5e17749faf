package org.oleanderspring.daemon.gateway.process.command;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.EventHandler;

/**
 * The duty that reloads the settings when the content of their file changes, or on request. Invalid
 * settings are rejected, and the previous ones stay in effect.
 */
public final class SettingsReloadDuty implements EventHandler<SettingsReloadDuty.Request> {
    private static final Logger LOGGER = System.getLogger(SettingsReloadDuty.class.getName());
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(2);
    private static final int RING_CAPACITY = 16;

    private final DutyThread<Request> mRing = new DutyThread<>("settings", RING_CAPACITY);
    private final Path mFile;
    private final Supplier<ReadResult> mReader;
    private final Gateway mGateway;
    private GatewaySettings mSettings;
    private byte[] mLastContent;

    /** The reason for reading the file. */
    public enum Request {
        /** The periodic check whether the file changed. */
        CHECK,
        /** A request to reload, even if the file did not change. */
        RELOAD
    }

    /**
     * The result of reading the settings.
     *
     * @param settings the settings, or null if they are invalid
     * @param problem why they are invalid, or null
     */
    public record ReadResult(@Nullable GatewaySettings settings, @Nullable String problem) {}

    /**
     * Creates the duty; call {@link #start} to run it.
     *
     * @param file the file with the settings
     * @param settings the current settings
     * @param reader reads and checks the settings; called on the duty's thread
     * @param gateway applies changed settings
     */
    public SettingsReloadDuty(
            Path file, GatewaySettings settings, Supplier<ReadResult> reader, Gateway gateway) {
        mFile = file;
        mSettings = settings;
        mReader = reader;
        mGateway = gateway;
        mLastContent = readFile();
    }

    /**
     * Starts the duty and its periodic check of the file.
     *
     * @param timer triggers the periodic check
     */
    public void start(DutyTimer timer) {
        mRing.start(this);
        timer.scheduleAtFixedRate(CHECK_PERIOD, mRing, () -> Request.CHECK);
    }

    /** Requests a reload, unless the ring is full; may be called from any thread. */
    public void request() {
        mRing.offer(Request.RELOAD);
    }

    @Override
    public void handle(Request request) {
        byte[] content = readFile();
        boolean changed = !Arrays.equals(content, mLastContent);
        mLastContent = content;
        if (!changed && request == Request.CHECK) {
            return;
        }
        ReadResult result = mReader.get();
        GatewaySettings settings = result.settings();
        if (settings == null) {
            LOGGER.log(
                    Level.ERROR, "[settings] reload-rejected reason=\"" + result.problem() + "\"");
            return;
        }
        boolean differs = !settings.equals(mSettings);
        mSettings = settings;
        if (differs) {
            mGateway.reconfigure(settings);
        }
        LOGGER.log(Level.INFO, "[settings] reloaded changed=" + differs);
    }

    /** Returns the content of the file; an unreadable file counts as empty, as for the reader. */
    private byte[] readFile() {
        try {
            return Files.readAllBytes(mFile);
        } catch (IOException unreadable) {
            return new byte[0];
        }
    }
}
