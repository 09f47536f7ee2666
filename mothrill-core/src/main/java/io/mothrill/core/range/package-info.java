/**
 * Decides about request keys: which run of a key counts, and whether an unrepeatable request may
 * run.
 *
 * <p>Keys are divided into ranges. Each range has an owner and a backup, which are named by one row
 * in the platform's table. A decision counts when the backup has acknowledged it. The claim of an
 * unrepeatable request counts when it is written to the table or, while the platform is
 * unreachable, when the backup has acknowledged it. An instance that acquires a range first fences
 * the previous owner at the backup, which returns what it had acknowledged, and then changes the
 * row. After that the previous owner cannot decide anything, whatever partition it is in, and the
 * new owner knows all decisions.
 */
package io.mothrill.core.range;
