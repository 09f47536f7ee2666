/** Communication between instances: protobuf messages over TCP and notices over UDP. */
package io.mothrill.wire.peer;
