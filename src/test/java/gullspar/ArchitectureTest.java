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

/** The borders between the packages. */
class ArchitectureTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("gullspar");

    /** Decisions are played in the simulator, in rehearsals and in service: they know none of these. */
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

    /** The same events must bring the same decisions, whenever and wherever they are played. */
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

    /** Who is listed and which route is taken: decisions too, beside the module. */
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
     * What a journal says must not hang on where and when it is read; its bytes come through an interface.
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

    /** Who is there is decided alike in service and in rehearsals; the same inputs bring the same outputs. */
    /** So a clock that is set an hour on or back changes the stamps of a log, and nothing else. */
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

    /** Which version holds is decided alike whenever and wherever it is played. */
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

    /** A proxy that follows nobody loads nothing of it. */
    @Test
    void onlyCommandLineDependsOnVersions() {
        noClasses()
                .that()
                .resideOutsideOfPackages("gullspar.versions..", "gullspar.cli..")
                .should()
                .dependOnClassesThat(resideInAPackage("gullspar.versions.."))
                .check(ALL);
    }

    /** The daemon is shipped and started without the kit, the simulator's wire and the command line. */
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

    /** Plain HTTP stands on the platform's proxy, never the other way: that loads nothing of it. */
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

    /** A slice for each package, those below it not included. */
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
