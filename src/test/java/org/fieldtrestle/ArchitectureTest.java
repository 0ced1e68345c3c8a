package org.fieldtrestle;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that packages depend only on lower layers, as drawn in docs/architecture.md. */
class ArchitectureTest {
  private static final String ROOT = "org.fieldtrestle";

  /** The layers from top to bottom; a package may use only packages of lower layers. */
  private static final List<List<String>> LAYERS =
      List.of(
          List.of(""),
          List.of(".controller"),
          List.of(".api", ".shard"),
          List.of(".scheduling", ".scaling"),
          List.of(".worker"),
          List.of(".context"),
          List.of(".cloud", ".leadership", ".metrics", ".routing"),
          List.of(".state"),
          List.of(".config", ".protocol"),
          List.of(".transport"));

  private final JavaClasses classes =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages(ROOT);

  @Test
  void packagesDependOnLowerLayersOnly() {
    LayeredArchitecture layers = layeredArchitecture().consideringOnlyDependenciesInLayers();
    for (int layer = 0; layer < LAYERS.size(); layer++) {
      layers = layers.layer(name(layer)).definedBy(packages(layer));
    }
    for (int layer = 0; layer < LAYERS.size(); layer++) {
      layers =
          layer == 0
              ? layers.whereLayer(name(layer)).mayNotBeAccessedByAnyLayer()
              : layers.whereLayer(name(layer)).mayOnlyBeAccessedByLayers(above(layer));
    }
    layers.check(classes);
  }

  @Test
  void packagesAreFreeOfCycles() {
    slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(classes);
  }

  private static String name(int layer) {
    return String.join(" ", packages(layer));
  }

  private static String[] packages(int layer) {
    return LAYERS.get(layer).stream().map(suffix -> ROOT + suffix).toArray(String[]::new);
  }

  private static String[] above(int layer) {
    String[] names = new String[layer];
    for (int i = 0; i < layer; i++) {
      names[i] = name(i);
    }
    return names;
  }
}
