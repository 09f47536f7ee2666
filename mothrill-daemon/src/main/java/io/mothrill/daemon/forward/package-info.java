/** The daemon that forwards requests on a platform with a store of its own. */
package io.mothrill.daemon.forward;
