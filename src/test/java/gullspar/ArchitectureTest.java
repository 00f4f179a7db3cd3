package gullspar;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.equivalentTo;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import java.io.IOException;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Dependency rules between packages. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("gullspar");

    /** The decision module runs in the simulator, in rehearsals and in service, and depends on none of them. */
    @Test
    void decisionModuleDependsOnNothingElse() {
        classes()
                .that()
                .resideInAPackage("gullspar.decide..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("gullspar.decide..", "java.lang..", "java.util..")
                .check(ALL);
    }

    /** The same events must produce the same decisions, whenever and wherever they are replayed. */
    @Test
    void decisionModuleDoesNoIoAndReadsNoClock() {
        noClasses()
                .that()
                .resideInAPackage("gullspar.decide..")
                .should()
                .dependOnClassesThat(resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "java.util.logging.."))
                .orShould()
                .accessClassesThat()
                .belongToAnyOf(Thread.class, Runtime.class, Process.class)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .callMethod(System.class, "identityHashCode", Object.class)
                .check(ALL);
    }

    /** Routing makes decisions as well, so the rules of the decision module hold for it. */
    @Test
    void routingDoesNoIoAndReadsNoClock() {
        classes()
                .that()
                .resideInAPackage("gullspar.route..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "gullspar.route..",
                        "java.lang..",
                        "java.util",
                        "java.util.regex",
                        "java.util.function",
                        "java.util.stream",
                        "java.nio.charset")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("gullspar.route..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .check(ALL);
    }

    /**
     * The content of a journal must not depend on where and when it is read; its bytes come through an interface.
     */
    @Test
    void journalFormatDoesNoFileIoAndReadsNoClock() {
        classes()
                .that()
                .resideInAPackage("gullspar.journal")
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(
                                "gullspar.journal",
                                "java.lang..",
                                "java.util",
                                "java.util.zip",
                                "java.util.stream",
                                "java.util.function",
                                "java.nio",
                                "java.nio.charset")
                        .or(equivalentTo(IOException.class)))
                .check(ALL);
    }

    /** A step of the wall clock, such as by an hour, may change only the timestamps of the log. */
    @Test
    void onlyProxyIoReadsWallClock() {
        noClasses()
                .that()
                .resideOutsideOfPackage("gullspar.proxy.io")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Instant.class, "now")
                .check(ALL);
    }

    /** The view has to be the same in service and in rehearsals: the same inputs produce the same outputs. */
    @Test
    void fleetViewDoesNoIoAndReadsNoClock() {
        classes()
                .that()
                .resideInAPackage("gullspar.peers")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "gullspar.peers",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.random",
                        "java.util.stream",
                        "java.util.zip",
                        "java.nio")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("gullspar.peers")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .check(ALL);
        classes()
                .that()
                .resideInAPackage("gullspar.peers.wire")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "gullspar.peers",
                        "gullspar.peers.wire",
                        "java..",
                        "javax.crypto..",
                        "com.fasterxml.jackson.core..",
                        "com.fasterxml.jackson.dataformat.cbor..")
                .check(ALL);
    }

    /** The version in force must not depend on when and where it is decided. */
    @Test
    void versionsDoNoIoAndReadNoClock() {
        classes()
                .that()
                .resideInAPackage("gullspar.versions")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "gullspar.versions",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.random",
                        "java.util.stream",
                        "java.util.zip",
                        "java.nio",
                        "java.nio.charset",
                        "java.security",
                        "com.github.difflib..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("gullspar.versions")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .accessClassesThat()
                .belongToAnyOf(Thread.class)
                .check(ALL);
        classes()
                .that()
                .resideInAPackage("gullspar.versions.wire")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "gullspar.versions",
                        "gullspar.versions.wire",
                        "java..",
                        "com.fasterxml.jackson.core..",
                        "com.fasterxml.jackson.dataformat.cbor..")
                .check(ALL);
    }

    /** A proxy that follows no control process must not load these classes. */
    @Test
    void onlyCommandLineDependsOnVersions() {
        noClasses()
                .that()
                .resideOutsideOfPackages("gullspar.versions..", "gullspar.cli..")
                .should()
                .dependOnClassesThat(resideInAPackage("gullspar.versions.."))
                .check(ALL);
    }

    /** The daemon must run without the rehearsal kit, the simulator's protocol and the command line. */
    @Test
    void daemonDependsOnNothingAboveIt() {
        classes()
                .that()
                .resideInAPackage("gullspar.proxy..")
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage("gullspar.proxy..", "gullspar.decide..", "gullspar.settings..")
                                .or(resideInAnyPackage("java..", "io.netty..", "com.fasterxml..")))
                .check(ALL);
    }

    /** Plain HTTP builds on the platform's proxy, which must not load any of its classes. */
    @Test
    void plainHttpDependsOnlyOnLowerLayers() {
        classes()
                .that()
                .resideInAPackage("gullspar.site..")
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(
                                "gullspar.site..",
                                "gullspar.config..",
                                "gullspar.route..",
                                "gullspar.decide..",
                                "gullspar.proxy..",
                                "gullspar.toml..")
                        .or(resideInAnyPackage("java..", "io.netty..")))
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("gullspar.site.(*)..")
                .should()
                .dependOnClassesThat(resideInAPackage("gullspar.site"))
                .check(ALL);
    }

    @Test
    void proxySubpackagesDoNotDependOnProxy() {
        noClasses()
                .that()
                .resideInAPackage("gullspar.proxy.(*)..")
                .should()
                .dependOnClassesThat(resideInAPackage("gullspar.proxy"))
                .check(ALL);
    }

    @Test
    void onlyCommandLineDependsOnPicocli() {
        noClasses()
                .that()
                .resideOutsideOfPackage("gullspar.cli..")
                .should()
                .dependOnClassesThat(resideInAPackage("picocli.."))
                .check(ALL);
    }

    @Test
    void packagesAreFreeOfCycles() {
        slices().assignedFrom(new PackageSlices()).should().beFreeOfCycles().check(ALL);
    }

    /** One slice per package, without its subpackages. */
    private static final class PackageSlices implements SliceAssignment {
        @Override
        public SliceIdentifier getIdentifierOf(JavaClass c) {
            return c.getPackageName().startsWith("gullspar")
                    ? SliceIdentifier.of(c.getPackageName())
                    : SliceIdentifier.ignore();
        }

        @Override
        public String getDescription() {
            return "each package";
        }
    }
}
