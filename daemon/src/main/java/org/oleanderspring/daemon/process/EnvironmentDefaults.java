package org.oleanderspring.daemon.process;

import java.util.Locale;
import java.util.Properties;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.IDefaultValueProvider;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Takes the default of each flag from its environment variable, or else from the node file: {@code
 * --caller-port} falls back to {@code OLEANDERSPRING_CALLER_PORT}.
 */
public final class EnvironmentDefaults implements IDefaultValueProvider {
    private static final String PREFIX = "OLEANDERSPRING_";

    private @Nullable Properties mNodeFile;

    @Override
    public @Nullable String defaultValue(ArgSpec argument) {
        if (!(argument instanceof OptionSpec option)) {
            return null;
        }
        String variable = variableOf(option.longestName());
        String value = System.getenv(variable);
        return value == null ? nodeFile().getProperty(variable) : value;
    }

    /** Returns the node file's variables; the file is read once for all flags of a command line. */
    private Properties nodeFile() {
        Properties properties = mNodeFile;
        if (properties == null) {
            properties = NodeFile.read();
            mNodeFile = properties;
        }
        return properties;
    }

    /**
     * Returns the name of a flag's environment variable.
     *
     * @param flag the flag with its two leading dashes
     */
    public static String variableOf(String flag) {
        return PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
    }
}
