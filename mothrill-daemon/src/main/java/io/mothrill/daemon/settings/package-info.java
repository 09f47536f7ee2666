/** The settings of an entry instance, read from JSON and checked. */
package io.mothrill.daemon.settings;
