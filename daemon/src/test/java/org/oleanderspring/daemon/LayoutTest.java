package org.oleanderspring.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Guards the layout: queries do not depend on commands, and duties do not depend on a transport.
 */
@AnalyzeClasses(
        packages = "org.oleanderspring.daemon",
        importOptions = ImportOption.DoNotIncludeTests.class)
class LayoutTest {
    /**
     * Excludes the wiring, whose queries offer events to the rings; the event types are in command
     * packages.
     */
    @ArchTest
    static final ArchRule QUERIES_DO_NOT_USE_COMMANDS =
            noClasses()
                    .that()
                    .resideInAPackage("..query..")
                    .and()
                    .resideOutsideOfPackage("..wiring..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.oleanderspring.daemon..command..");

    @ArchTest
    static final ArchRule DUTIES_DO_NOT_USE_TRANSPORTS =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "..daemon.routing..",
                            "..daemon.placement..",
                            "..daemon.lease..",
                            "..daemon.document..",
                            "..daemon.membership..",
                            "..daemon.dispatch..",
                            "..daemon.report..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.eclipse.jetty..", "io.netty..", "com.google.protobuf..");
}
