package org.oleanderspring.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.time.LocalDateTime;
import java.util.Date;
import org.oleanderspring.daemon.gateway.process.command.Gateway;

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

    /**
     * Guards against decisions that a jump of the time of day falsifies. Only the two clocks of the
     * process read it; the command line, whose processes end at once, may do so for its output.
     */
    @ArchTest
    static final ArchRule DECISIONS_DO_NOT_READ_THE_TIME_OF_DAY =
            noClasses()
                    .that()
                    .resideOutsideOfPackage("..daemon.cli..")
                    .should()
                    .callMethod(Instant.class, "now")
                    .orShould()
                    .callMethod(LocalDateTime.class, "now")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callConstructor(Date.class);

    /** The system clock is read only where it is wrapped by a clock of the process. */
    @ArchTest
    static final ArchRule SYSTEM_CLOCK_IS_WRAPPED =
            noClasses()
                    .that()
                    .doNotHaveFullyQualifiedName(Gateway.class.getName())
                    .and()
                    .doNotHaveSimpleName("PeerMessenger")
                    .and()
                    .resideOutsideOfPackage("..daemon.cli..")
                    .should()
                    .callMethod(Clock.class, "systemUTC");
}
