/** The grammar of HTTP/1.1 messages, checked on their bytes before a decoder interprets them. */
package io.mothrill.wire.syntax;
