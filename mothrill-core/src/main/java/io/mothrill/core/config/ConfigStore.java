package io.mothrill.core.config;

import static io.mothrill.core.config.error.PlatformOutage.platformOutage;
import static io.mothrill.core.config.error.ResourceNotFound.resourceNotFound;
import static io.mothrill.core.config.error.StillInUse.stillInUse;
import static io.mothrill.core.config.error.VersionConflict.versionConflict;

import io.mothrill.core.budget.BudgetTables;
import io.mothrill.core.config.error.ConfigException;
import io.mothrill.core.error.Failures;
import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.resource.BudgetSpec;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceCodec;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.Spec;
import io.mothrill.core.resource.TopUp;
import io.mothrill.core.resource.UpstreamSpec;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Accepts configuration changes, each in one transaction on the platform's table.
 *
 * <p>The transaction writes the resource, the next revision, the change and the change id.
 * Concurrent changes to a resource or to the revision therefore conflict: one is accepted and the
 * other is retried on fresh rows. An operator who lost the response sends the same change id again
 * and gets the original result.
 */
public final class ConfigStore implements ChangeSource {

  private static final int SCAN_ROWS = 1_000;
  private static final int MAX_ATTEMPTS = 50;

  private final TableService table;
  private final ResourceCodec codec;
  private final Timers timers;

  /**
   * Creates the store.
   *
   * @param table the platform's table
   * @param codec serializes resources
   * @param timers the timer service
   */
  public ConfigStore(TableService table, ResourceCodec codec, Timers timers) {
    this.table = table;
    this.codec = codec;
    this.timers = timers;
  }

  /**
   * Accepts a change, or rejects it as a whole.
   *
   * @param request the change
   * @return the accepted change; fails with {@link ConfigException} or {@link
   *     InvalidInputException}
   */
  public CompletableFuture<Change> change(ChangeRequest request) {
    return attempt(request, 1).exceptionallyCompose(error -> toConfigException(error));
  }

  private CompletableFuture<Change> toConfigException(Throwable error) {
    Throwable cause = Failures.unwrap(error);
    return CompletableFuture.failedFuture(
        cause instanceof PlatformException
            ? new ConfigException(platformOutage(cause.getMessage()))
            : cause);
  }

  private CompletableFuture<Change> attempt(ChangeRequest request, int attempt) {
    return table
        .read(rowKeysOf(request))
        .thenCompose(
            rows -> {
              Row changeId = rows.get(2);
              if (changeId.exists()) {
                return readAcceptedChange(changeId);
              }
              return write(request, rows, attempt);
            });
  }

  private static List<RowKey> rowKeysOf(ChangeRequest request) {
    List<RowKey> keys = new ArrayList<>();
    keys.add(ConfigTables.head());
    keys.add(ConfigTables.resource(request.kind(), request.name()));
    keys.add(ConfigTables.changeId(request.changeId()));
    request.spec().ifPresent(spec -> keys.addAll(referencedKeys(request.name(), spec)));
    return keys;
  }

  private static List<RowKey> referencedKeys(String name, Spec spec) {
    List<RowKey> keys = new ArrayList<>();
    if (spec instanceof BudgetSpec budget) {
      keys.add(ConfigTables.resource(ResourceKind.TEAM, budget.team()));
      keys.add(BudgetTables.budget(name));
      budget.topUps().forEach(topUp -> keys.add(BudgetTables.topUp(name, topUp.id())));
    } else if (spec instanceof UpstreamSpec upstream) {
      keys.add(ConfigTables.resource(ResourceKind.SERVICE, upstream.service()));
    }
    return keys;
  }

  private CompletableFuture<Change> readAcceptedChange(Row changeId) {
    long revision = changeId.cells().number(ConfigTables.REVISION);
    return table
        .read(List.of(ConfigTables.change(revision)))
        .thenApply(rows -> decode(rows.get(0)));
  }

  private CompletableFuture<Change> write(ChangeRequest request, List<Row> rows, int attempt) {
    Row head = rows.get(0);
    Row resourceRow = rows.get(1);
    checkVersion(request, resourceRow);
    long revision = head.cells().number(ConfigTables.REVISION) + 1;
    Change change = changeOf(request, revision);
    Transaction transaction =
        Transaction.on(head, Cells.empty().with(ConfigTables.REVISION, revision))
            .and(rows.get(2), Cells.empty().with(ConfigTables.REVISION, revision))
            .and(Row.absent(ConfigTables.change(revision)), encode(change));
    Transaction fullTransaction =
        request.spec().isPresent()
            ? withResource(transaction, change, rows)
            : transaction.andDelete(resourceRow);
    CompletableFuture<Void> allowed =
        request.spec().isPresent() ? CompletableFuture.completedFuture(null) : checkUnused(request);
    return allowed
        .thenCompose(ignored -> table.write(fullTransaction))
        .thenCompose(written -> written ? accepted(change) : retry(request, attempt));
  }

  private static CompletableFuture<Change> accepted(Change change) {
    return CompletableFuture.completedFuture(change);
  }

  private CompletableFuture<Change> retry(ChangeRequest request, int attempt) {
    if (attempt >= MAX_ATTEMPTS) {
      return CompletableFuture.failedFuture(
          PlatformException.unreachable("lost " + attempt + " races for the next revision"));
    }
    return attempt(request, attempt + 1);
  }

  private void checkVersion(ChangeRequest request, Row resourceRow) {
    long actual = resourceRow.cells().number(ConfigTables.REVISION);
    if (request.expectedVersion().isPresent() && request.expectedVersion().getAsLong() != actual) {
      throw new ConfigException(
          versionConflict(request.name(), request.expectedVersion().getAsLong(), actual),
          decodeResource(resourceRow));
    }
    if (request.spec().isEmpty() && !resourceRow.exists()) {
      throw new ConfigException(resourceNotFound(request.kind().title(), request.name()));
    }
  }

  private Change changeOf(ChangeRequest request, long revision) {
    return new Change(
        revision,
        request.kind(),
        request.name(),
        request.spec().map(spec -> new Resource(request.name(), revision, spec)),
        request.changeId(),
        request.who(),
        timers.wallMs());
  }

  private Transaction withResource(Transaction transaction, Change change, List<Row> rows) {
    Resource resource = change.resource().orElseThrow();
    Cells cells =
        Cells.empty()
            .with(ConfigTables.REVISION, change.revision())
            .with(ConfigTables.JSON, codec.encode(resource));
    Transaction extended = transaction.and(rows.get(1), cells);
    if (resource.spec() instanceof BudgetSpec budget) {
      return withTopUps(extended.requiring(requireExists("spec.team", rows.get(3))), budget, rows);
    }
    if (resource.spec() instanceof UpstreamSpec) {
      return extended.requiring(requireExists("spec.service", rows.get(3)));
    }
    return extended;
  }

  private static Row requireExists(String path, Row row) {
    if (!row.exists()) {
      String name = row.key().key();
      throw InvalidInputException.of(FieldError.refused(path, "there is no " + name));
    }
    return row;
  }

  private static Transaction withTopUps(
      Transaction transaction, BudgetSpec budget, List<Row> rows) {
    Row budgetRow = rows.get(4);
    Transaction extended = transaction;
    long addedTokens = 0;
    for (int index = 0; index < budget.topUps().size(); index++) {
      TopUp topUp = budget.topUps().get(index);
      Row topUpRow = rows.get(5 + index);
      if (topUpRow.exists()) {
        checkSameTokens(index, topUp, topUpRow);
      } else {
        extended = extended.and(topUpRow, BudgetTables.topUpCells(topUp.tokens()));
        addedTokens = Math.addExact(addedTokens, topUp.tokens());
      }
    }
    if (addedTokens == 0 && budgetRow.exists()) {
      return extended;
    }
    return extended.and(budgetRow, BudgetTables.addPaid(budgetRow, addedTokens));
  }

  private static void checkSameTokens(int index, TopUp topUp, Row topUpRow) {
    long addedTokens = BudgetTables.topUpTokens(topUpRow);
    if (addedTokens != topUp.tokens()) {
      throw InvalidInputException.of(
          FieldError.refused(
              "spec.topUps[" + index + "].tokens",
              "top-up " + topUp.id() + " was already added with " + addedTokens + " tokens"));
    }
  }

  /** Rejects the deletion of a resource that other resources still refer to. */
  private CompletableFuture<Void> checkUnused(ChangeRequest request) {
    return load()
        .thenAccept(
            snapshot -> {
              List<String> dependents =
                  snapshot.dependents(request.kind(), request.name()).stream()
                      .map(found -> found.kind().title() + " " + found.name())
                      .toList();
              if (!dependents.isEmpty()) {
                throw new ConfigException(
                    stillInUse(request.name(), dependents),
                    snapshot.find(request.kind(), request.name()));
              }
            });
  }

  /**
   * Reads the revision of the last accepted change.
   *
   * @return the revision; 0 when no change was accepted yet
   */
  public CompletableFuture<Long> revision() {
    return table
        .read(List.of(ConfigTables.head()))
        .thenApply(rows -> rows.get(0).cells().number(ConfigTables.REVISION));
  }

  /**
   * Reads the whole configuration.
   *
   * <p>The revision is read first, so rows that change during the scan can only be newer than it.
   * Their changes are read again from the change log later, which is harmless.
   *
   * @return a snapshot at the revision read first
   */
  public CompletableFuture<ConfigSnapshot> load() {
    return revision()
        .thenCompose(
            revision ->
                scanAll("", new ArrayList<>())
                    .thenApply(resources -> ConfigSnapshot.of(revision, resources)));
  }

  private CompletableFuture<List<Resource>> scanAll(String afterKey, List<Resource> found) {
    return table
        .scan(ConfigTables.RESOURCES, "", afterKey, SCAN_ROWS)
        .thenCompose(
            rows -> {
              rows.stream().map(this::decodeResource).forEach(row -> row.ifPresent(found::add));
              return rows.size() < SCAN_ROWS
                  ? CompletableFuture.completedFuture(found)
                  : scanAll(rows.get(rows.size() - 1).key().key(), found);
            });
  }

  @Override
  public CompletableFuture<List<Change>> changesAfter(long revision, int limit) {
    return table
        .scan(ConfigTables.CHANGES, "", ConfigTables.changeKey(revision), limit)
        .thenApply(rows -> rows.stream().map(this::decode).toList());
  }

  private Cells encode(Change change) {
    return Cells.empty()
        .with(ConfigTables.REVISION, change.revision())
        .with(ConfigTables.KIND, change.kind().title())
        .with(ConfigTables.NAME, change.name())
        .with(ConfigTables.JSON, change.resource().map(codec::encode).orElse(""))
        .with(ConfigTables.CHANGE_ID, change.changeId())
        .with(ConfigTables.WHO, change.who())
        .with(ConfigTables.WALL_MS, change.wallMs());
  }

  private Change decode(Row row) {
    Cells cells = row.cells();
    return new Change(
        cells.number(ConfigTables.REVISION),
        ResourceKind.find(cells.text(ConfigTables.KIND)).orElseThrow(),
        cells.text(ConfigTables.NAME),
        decodeResource(row),
        cells.text(ConfigTables.CHANGE_ID),
        cells.text(ConfigTables.WHO),
        cells.number(ConfigTables.WALL_MS));
  }

  private Optional<Resource> decodeResource(Row row) {
    return Optional.of(row.cells().text(ConfigTables.JSON))
        .filter(json -> !json.isEmpty())
        .map(codec::decode);
  }
}
