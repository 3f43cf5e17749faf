package org.oleanderspring.daemon;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.assignableTo;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noFields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noMethods;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import org.junit.jupiter.api.Test;

/** Guards against names of the hosted platform outside of the adapter that translates them. */
class PlatformBoundaryTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.oleanderspring");

    private static final String ADAPTER = "org.oleanderspring.platform..";

    /** The platform's words for failure domain, organisation, VM and endpoint. */
    private static final String PLATFORM_WORDS =
            "(?i:zone|tenant|machine|backend).*|.*(Zone|Tenant|Machine|Backend)(?![a-z]).*";

    /**
     * Only the process setup and the reader of store entries may use the adapter of the platform.
     */
    @Test
    void onlyTheGatewayUsesTheAdapter() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        ADAPTER,
                        "org.oleanderspring.daemon.gateway.process..",
                        "org.oleanderspring.daemon.gateway")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.oleanderspring.platform.hosted..")
                .check(CLASSES);
    }

    /**
     * A word of the platform in a name shows that the adapter did not translate a wire name. Clocks
     * are exempt, since the JDK names their time zone methods.
     */
    @Test
    void namesContainNoPlatformWords() {
        noClasses()
                .that()
                .resideOutsideOfPackage(ADAPTER)
                .should()
                .haveNameMatching(".*\\.(" + PLATFORM_WORDS + ")")
                .check(CLASSES);
        noMethods()
                .that()
                .areDeclaredInClassesThat(
                        resideOutsideOfPackage(ADAPTER).and(not(assignableTo(Clock.class))))
                .should()
                .haveNameMatching(PLATFORM_WORDS)
                .check(CLASSES);
        noFields()
                .that()
                .areDeclaredInClassesThat()
                .resideOutsideOfPackage(ADAPTER)
                .should()
                .haveNameMatching("m?(" + PLATFORM_WORDS + ")")
                .check(CLASSES);
    }
}
