/** Which upstream serves a call, and when: classes, windows, queues and choice. */
package io.mothrill.core.routing;
