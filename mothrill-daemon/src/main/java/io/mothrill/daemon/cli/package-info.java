/** The operator's command line. */
package io.mothrill.daemon.cli;
