/** JSON by Jackson: checked reading with field paths, and the resources' codec. */
package io.mothrill.wire.json;
