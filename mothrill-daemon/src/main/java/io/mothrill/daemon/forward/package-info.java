/** The daemon that forwards requests on a platform with its own store. */
package io.mothrill.daemon.forward;
