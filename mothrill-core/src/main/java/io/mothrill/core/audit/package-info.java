/** Audits the platform's budget tables: paid, granted and billed tokens. */
package io.mothrill.core.audit;
