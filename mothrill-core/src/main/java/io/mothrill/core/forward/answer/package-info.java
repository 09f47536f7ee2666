/** What upstreams say of themselves in their answers, and who is told. */
package io.mothrill.core.forward.answer;
