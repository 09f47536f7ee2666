/** The executables: the entry instance and the operator's command line. */
package io.mothrill.daemon;
