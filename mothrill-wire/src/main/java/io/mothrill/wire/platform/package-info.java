/** Clients of the platform's services over HTTP. */
package io.mothrill.wire.platform;
