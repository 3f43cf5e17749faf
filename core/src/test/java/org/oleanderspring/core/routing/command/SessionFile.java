package org.oleanderspring.core.routing.command;

import java.io.File;
import java.nio.file.Path;
import org.approvaltests.namer.ApprovalNamer;

/** File names of one golden session. The session file itself is the approved file. */
record SessionFile(Path path) implements ApprovalNamer {
    @Override
    public File getApprovedFile(String extension) {
        return path.toFile();
    }

    @Override
    public File getReceivedFile(String extension) {
        return Path.of("target", path.getFileName() + ".received").toFile();
    }

    @Override
    public ApprovalNamer addAdditionalInformation(String information) {
        return this;
    }

    @Override
    public String getAdditionalInformation() {
        return "";
    }

    @Override
    public String getApprovalName() {
        return path.getFileName().toString();
    }

    @Override
    public String getSourceFilePath() {
        return path.getParent() + File.separator;
    }
}
