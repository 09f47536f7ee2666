/** Links between instances: protobuf messages over TCP. */
package io.mothrill.wire.peer;
