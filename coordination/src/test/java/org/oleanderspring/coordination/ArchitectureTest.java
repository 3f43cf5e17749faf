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

/**
 * Checks architecture rules that the compiler cannot check: dependencies, clocks and random
 * sources.
 */
class ArchitectureTest {
    private static final String ROOT = "org.oleanderspring.coordination";
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages(ROOT);

    /**
     * Guards against a dependency on a library that prevents embedding the module in other
     * programs.
     */
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

    /**
     * Guards against the use of a clock or random source that a replay of a session cannot control.
     */
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

    /**
     * Guards against a query that can change state by calling a command of its own subject package.
     */
    @Test
    void queriesDoNotDependOnCommands() {
        ArchRuleDefinition.classes()
                .that()
                .resideInAPackage("..query..")
                .should(notDependOnCommandsOfTheirSubject())
                .check(CLASSES);
    }

    /**
     * Guards against cyclic dependencies between subject packages, which could then not be embedded
     * separately.
     */
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
