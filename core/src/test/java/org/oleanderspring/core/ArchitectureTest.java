package org.oleanderspring.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaCodeUnitAccess;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.Date;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
    private static final Set<String> CLOCK_AND_RANDOM_METHODS =
            Set.of(
                    "java.lang.System.currentTimeMillis",
                    "java.lang.System.nanoTime",
                    "java.lang.Math.random",
                    "java.util.random.RandomGenerator.getDefault");

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.oleanderspring.core");

    /** Guards against decision code that is tied to one front end, transport or encoding. */
    @Test
    void decisionsDoNotDependOnTransportOrEncoding() {
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

    /** Guards against decisions that differ when the same events are replayed. */
    @Test
    void timeAndRandomnessArePassedIn() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Clock.class, ThreadLocalRandom.class, SecureRandom.class, UUID.class)
                .check(CLASSES);
        noClasses().should(readClockOrUnseededRandom()).check(CLASSES);
    }

    /** Guards against queries that change state through a command. */
    @Test
    void queriesDoNotDependOnCommands() {
        for (JavaClass type : CLASSES) {
            String name = type.getPackageName();
            int query = name.indexOf(".query");
            if (query >= 0) {
                noClasses()
                        .that()
                        .resideInAPackage(name)
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage(name.substring(0, query) + ".command..")
                        .check(CLASSES);
            }
        }
    }

    private static ArchCondition<JavaClass> readClockOrUnseededRandom() {
        return new ArchCondition<>("read a clock or use unseeded randomness") {
            @Override
            public void check(JavaClass type, ConditionEvents events) {
                for (JavaCodeUnitAccess<?> access : type.getCodeUnitAccessesFromSelf()) {
                    if (isForbidden(access)) {
                        events.add(SimpleConditionEvent.satisfied(type, access.getDescription()));
                    }
                }
            }
        };
    }

    private static boolean isForbidden(JavaCodeUnitAccess<?> access) {
        String owner = access.getTargetOwner().getName();
        String name = owner + "." + access.getTarget().getName();
        boolean withoutArguments = access.getTarget().getRawParameterTypes().isEmpty();
        return CLOCK_AND_RANDOM_METHODS.contains(name)
                || withoutArguments && isNow(access, owner)
                || withoutArguments && isDefaultConstructor(access, owner);
    }

    private static boolean isNow(JavaAccess<?> access, String owner) {
        return owner.startsWith("java.time.") && access.getTarget().getName().equals("now");
    }

    private static boolean isDefaultConstructor(JavaAccess<?> access, String owner) {
        return access.getTarget().getName().equals("<init>")
                && Set.of(
                                Random.class.getName(),
                                SplittableRandom.class.getName(),
                                Date.class.getName())
                        .contains(owner);
    }
}
