/**
 * Claims of requests that may run only once.
 *
 * <p>Keys are divided into ranges. Each range has an owner and a backup, named by one row in the
 * platform's table. While the platform answers, a claim is a row written on the condition that the
 * range's row is unchanged. While it does not, a claim counts when the backup has acknowledged it.
 * Whoever takes a range over first makes the backup refuse the old owner, and then changes the row,
 * so the old owner can grant nothing more in either way.
 */
package io.mothrill.core.claim;
