package org.fuchsiaford.entry;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

/** Checks that modules depend only towards the core and that the core performs no I/O. */
class ArchitectureTest {
    private static final String[] CORE = {
        "org.fuchsiaford.attempt..",
        "org.fuchsiaford.backend..",
        "org.fuchsiaford.bundle..",
        "org.fuchsiaford.failure..",
        "org.fuchsiaford.fleet..",
        "org.fuchsiaford.hash..",
        "org.fuchsiaford.host..",
        "org.fuchsiaford.hostmemory..",
        "org.fuchsiaford.json..",
        "org.fuchsiaford.order..",
        "org.fuchsiaford.placement..",
        "org.fuchsiaford.prompt..",
        "org.fuchsiaford.quota..",
        "org.fuchsiaford.registry..",
        "org.fuchsiaford.request..",
        "org.fuchsiaford.routing..",
        "org.fuchsiaford.selection..",
        "org.fuchsiaford.serverlimit..",
        "org.fuchsiaford.shutdown..",
        "org.fuchsiaford.time..",
        "org.fuchsiaford.workspace..",
    };

    private final JavaClasses mClasses =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.fuchsiaford");

    @Example
    void coreDependsOnNoOtherModuleAndDoesNoIo() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.fuchsiaford.store..",
                        "org.fuchsiaford.peer..",
                        "org.fuchsiaford.entry..",
                        "org.fuchsiaford.standin..",
                        "reactor..",
                        "io.netty..",
                        "java.net..",
                        "java.nio.file..")
                .check(mClasses);
    }

    @Example
    void storeAndPeerDependOnlyOnCore() {
        noClasses()
                .that()
                .resideInAnyPackage("org.fuchsiaford.store..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.fuchsiaford.peer..",
                        "org.fuchsiaford.entry..",
                        "org.fuchsiaford.standin..")
                .check(mClasses);
        noClasses()
                .that()
                .resideInAnyPackage("org.fuchsiaford.peer..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.fuchsiaford.store..",
                        "org.fuchsiaford.entry..",
                        "org.fuchsiaford.standin..")
                .check(mClasses);
    }

    @Example
    void productDoesNotDependOnStandins() {
        noClasses()
                .that()
                .resideInAnyPackage("org.fuchsiaford.entry..", "org.fuchsiaford.store..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.fuchsiaford.standin..")
                .check(mClasses);
    }

    @Example
    void timeInTheCoreIsPassedIn() {
        noClasses()
                .that()
                .resideInAnyPackage(CORE)
                .and()
                .doNotHaveSimpleName("Ticker")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(mClasses);
    }
}
