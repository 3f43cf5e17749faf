package org.oleanderspring.coordination;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Instant;
import java.time.LocalDateTime;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** Checks the rules of the design page that the compiler does not check. */
class ArchitectureTest {
    private static final String ROOT = "org.oleanderspring.coordination";
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages(ROOT);

    /** Guards against a library type that keeps the module from being embedded elsewhere. */
    @Test
    void noLibraryTypes() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.eclipse.jetty..",
                        "io.netty..",
                        "com.google.protobuf..",
                        "com.fasterxml.jackson..",
                        "com.lmax.disruptor..")
                .check(CLASSES);
    }

    /** Guards against a clock or a random source that a replay of a session cannot control. */
    @Test
    void noClockAndNoRandomSource() {
        noClasses().should().callMethod(Instant.class, "now").check(CLASSES);
        noClasses().should().callMethod(LocalDateTime.class, "now").check(CLASSES);
        noClasses().should().callMethod(System.class, "currentTimeMillis").check(CLASSES);
        noClasses().should().callMethod(System.class, "nanoTime").check(CLASSES);
        noClasses().should().callMethod(Math.class, "random").check(CLASSES);
        noClasses().should().callMethod(UUID.class, "randomUUID").check(CLASSES);
        noClasses().should().callMethod(RandomGenerator.class, "getDefault").check(CLASSES);
        noClasses().should().callConstructor(Random.class).check(CLASSES);
        noClasses().should().callConstructor(SplittableRandom.class).check(CLASSES);
        noClasses().should().dependOnClassesThat().areAssignableTo(Clock.class).check(CLASSES);
        noClasses()
                .should()
                .dependOnClassesThat()
                .areAssignableTo(ThreadLocalRandom.class)
                .check(CLASSES);
        noClasses()
                .should()
                .dependOnClassesThat()
                .areAssignableTo(SecureRandom.class)
                .check(CLASSES);
    }

    /** Guards against a query that can change state through a command of its subject. */
    @Test
    void queriesDoNotDependOnCommands() {
        ArchRuleDefinition.classes()
                .that()
                .resideInAPackage("..query..")
                .should(notDependOnCommandsOfTheirSubject())
                .check(CLASSES);
    }

    /** Guards against subjects that cannot be embedded without each other in both directions. */
    @Test
    void subjectsHaveNoCycles() {
        slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    private static ArchCondition<JavaClass> notDependOnCommandsOfTheirSubject() {
        return new ArchCondition<>("not depend on commands of their subject") {
            @Override
            public void check(JavaClass query, ConditionEvents events) {
                String commands = query.getPackageName().replace(".query", ".command");
                DescribedPredicate<JavaClass> isCommand =
                        DescribedPredicate.describe(
                                "command", type -> type.getPackageName().startsWith(commands));
                query.getDirectDependenciesFromSelf().stream()
                        .filter(dependency -> isCommand.test(dependency.getTargetClass()))
                        .forEach(
                                dependency ->
                                        events.add(
                                                SimpleConditionEvent.violated(
                                                        dependency, dependency.getDescription())));
            }
        };
    }
}
