package org.oleanderspring.standin;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Checks the package layout: queries must not depend on commands, so that a query cannot change
 * state through one.
 */
@AnalyzeClasses(
        packages = "org.oleanderspring.standin",
        importOptions = ImportOption.DoNotIncludeTests.class)
class LayoutTest {
    @ArchTest
    static final ArchRule QUERIES_DO_NOT_USE_COMMANDS =
            noClasses()
                    .that()
                    .resideInAPackage("..query..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("..command..");
}
