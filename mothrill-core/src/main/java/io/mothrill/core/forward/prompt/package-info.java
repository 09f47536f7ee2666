/** Divides the engines of a service among short and long prompts, and estimates prefill times. */
package io.mothrill.core.forward.prompt;
