/**
 * Who decides about a request key: which run of it counts, and whether it may run at all.
 *
 * <p>Keys are divided into ranges. Each range has an owner and a backup, named by one row in the
 * platform's table. A decision counts when the backup has acknowledged it; the claim of an
 * unrepeatable request counts when the table, or while that is away the backup, has taken it.
 * Whoever takes a range over first makes the backup refuse the old owner and give what it knows,
 * and then changes the row. The old owner can decide nothing more after that, however it is cut
 * off, and the new one knows all that was decided.
 */
package io.mothrill.core.range;
