/** Copies of the tables of the platform's store, which instances pass on to each other. */
package io.mothrill.core.forward.view.table;
