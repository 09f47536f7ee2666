/** How slow each upstream currently is, as observed here and reported by other instances. */
package io.mothrill.core.forward.contention;
