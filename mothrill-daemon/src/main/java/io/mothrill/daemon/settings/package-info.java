/** The settings of an entry instance, parsed from JSON and validated. */
package io.mothrill.daemon.settings;
