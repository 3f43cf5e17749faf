package org.oleanderspring.core.routing.command;

import java.io.File;
import java.nio.file.Path;
import org.approvaltests.namer.ApprovalNamer;

/** File names of one golden session. The session file itself is the approved file. */
record SessionFile(Path descriptor) implements ApprovalNamer {
    @Override
    public File getApprovedFile(String extension) {
        return descriptor.toFile();
    }

    @Override
    public File getReceivedFile(String extension) {
        return Path.of("target", descriptor.getFileName() + ".received").toFile();
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
        return descriptor.getFileName().toString();
    }

    @Override
    public String getSourceFilePath() {
        return descriptor.getParent() + File.separator;
    }
}
