/** State that upstreams announce in their answers, and the components that are notified of it. */
package io.mothrill.core.forward.answer;
