package io.mothrill.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class ArchitectureTest {

  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("io.mothrill.core");

  @Test
  void coreOpensNoSocketAndKnowsNoNetty() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net..", "java.nio.channels..", "io.netty..", "com.fasterxml..")
        .check(CORE);
  }

  @Test
  void coreStartsNoThread() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.lang.Thread")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.util.concurrent.Executors")
        .check(CORE);
  }

  @Test
  void coreReadsNoClock() {
    noClasses()
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .dependOnClassesThat()
        .resideInAnyPackage("java.time..")
        .check(CORE);
  }
}
