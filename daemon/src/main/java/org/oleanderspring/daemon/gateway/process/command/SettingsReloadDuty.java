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
 * Reads the settings again when the file with them changed, or when it is told to. Settings that
 * are wrong are not taken over: the old ones stay in force.
 */
public final class SettingsReloadDuty implements EventHandler<SettingsReloadDuty.Request> {
    private static final Logger LOGGER = System.getLogger(SettingsReloadDuty.class.getName());
    private static final Duration PERIOD = Duration.ofSeconds(2);
    private static final int CAPACITY = 16;

    private final DutyThread<Request> mRing = new DutyThread<>("settings", CAPACITY);
    private final Path mFile;
    private final Supplier<ReadResult> mReader;
    private final Gateway mGateway;
    private GatewaySettings mSettings;
    private byte[] mContent;

    /** Why the settings are looked at. */
    public enum Request {
        /** It is time to see whether the file changed. */
        CHECK,
        /** Somebody says that it changed. */
        RELOAD
    }

    /**
     * What was read.
     *
     * @param settings the settings, or null if they are wrong
     * @param problem what is wrong, or null
     */
    public record ReadResult(@Nullable GatewaySettings settings, @Nullable String problem) {}

    /**
     * Creates the duty; call {@link #start} to run it.
     *
     * @param file the file with the settings
     * @param settings the settings in force
     * @param reader reads and checks the settings
     * @param gateway takes changed settings
     */
    public SettingsReloadDuty(
            Path file, GatewaySettings settings, Supplier<ReadResult> reader, Gateway gateway) {
        mFile = file;
        mSettings = settings;
        mReader = reader;
        mGateway = gateway;
        mContent = content();
    }

    /**
     * Starts to look at the file.
     *
     * @param timer says when
     */
    public void start(DutyTimer timer) {
        mRing.start(this);
        timer.every(PERIOD, mRing, () -> Request.CHECK);
    }

    /** Asks for the settings to be read again. */
    public void request() {
        mRing.offer(Request.RELOAD);
    }

    @Override
    public void handle(Request request) {
        byte[] content = content();
        boolean changed = !Arrays.equals(content, mContent);
        mContent = content;
        if (!changed && request == Request.CHECK) {
            return;
        }
        ReadResult outcome = mReader.get();
        GatewaySettings settings = outcome.settings();
        if (settings == null) {
            LOGGER.log(
                    Level.ERROR, "[settings] reload-rejected reason=\"" + outcome.problem() + "\"");
            return;
        }
        boolean differs = !settings.equals(mSettings);
        mSettings = settings;
        if (differs) {
            mGateway.reconfigure(settings);
        }
        LOGGER.log(Level.INFO, "[settings] reloaded changed=" + differs);
    }

    private byte[] content() {
        try {
            return Files.readAllBytes(mFile);
        } catch (IOException unreadable) {
            return new byte[0];
        }
    }
}
