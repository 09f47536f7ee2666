/** Configuration: accepting changes once, and spreading them upwards only. */
package io.mothrill.core.config;
