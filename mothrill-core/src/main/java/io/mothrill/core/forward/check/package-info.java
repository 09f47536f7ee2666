/** What forbids to send a request to an upstream, in one list that every send goes through. */
package io.mothrill.core.forward.check;
